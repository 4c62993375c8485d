#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief The closed list of safeguards, so that tests can show what each one prevents.

namespace plumdale::coordination
{

/// \brief One check that upholds a guarantee under failure.
enum class safeguard : std::uint8_t
{
    // -- requests ----------------------------------------------------------------------------
    identity_mac,       ///< An identity whose MAC does not match is rejected.
    single_owner,       ///< Only the process named in an identity dispatches it.
    dispatch_once,      ///< A second run of an identity or key attaches to the first.
    identity_per_start, ///< A restart runs under an identity of its own.
    key_home,           ///< A keyed run is decided by its home VM.
    key_doubt,          ///< A VM without memory of a key's past refuses repeats.
    key_takeover,       ///< Keys of a dead home are taken over after a delay, only in a majority.
    token_identity,     ///< Tokens of another identity are dropped.
    token_index,        ///< Tokens out of order are dropped.
    restart_unsent,     ///< No restart once a token was sent.
    restart_repeatable, ///< No restart of work that may have run and may not be repeated.
    truthful_refusal,   ///< "Not run" is reported only for work that provably did not run.
    silence_resume,     ///< A silent stream is resumed on a new connection.
    pause_recheck,      ///< A process that was paused refreshes its state before it dispatches.
    single_caller,      ///< A new caller supersedes the one attached before.
    detached_finish,    ///< Billed work finishes even if its caller disconnects.
    deadline_answer,    ///< A deadline that passes is answered at once.
    slow_reader_bound,  ///< A caller that stopped reading is disconnected.
    drain_waits,        ///< A drain waits for all that is in flight.
                        // -- control
                 // -----------------------------------------------------------------------------
    stamp_join,         ///< Preset stamps join by maximum; an older one never replaces a newer.
    catch_up,           ///< A started VM serves only once it has learnt what is in force.
    acceptance_count,   ///< A switch is accepted only when enough VMs hold it.
    outage_switch,      ///< A revision published unseen does not undo a switch made in the outage.
    leaving_mark,       ///< A leaving mark is never revoked for its incarnation.
    member_incarnation, ///< State of an older incarnation does not replace that of a newer one.
    suspicion,          ///< A silent member may refute a suspicion before it is declared dead.
    datagram_mac,       ///< Datagrams whose MAC does not match are dropped.
    order_fence,        ///< Orders carry a fencing number derived from the stamp.
    order_readback,     ///< Orders are read back, as an engine may ignore fencing numbers.
    count               ///< Number of safeguards; not a safeguard.
};

/// \brief Number of safeguards.
inline constexpr std::size_t safeguard_count = static_cast<std::size_t>(safeguard::count);

/// \brief Which safeguards are on. All are, unless a test turns one off.
///
/// Example: `settings.safeguards = safeguard_set{}.without(safeguard::token_index);`
class safeguard_set
{
public:
    [[nodiscard]] constexpr bool has(safeguard which) const noexcept
    {
        return (disabled_ & bit(which)) == 0;
    }

    /// \brief Returns this set with one safeguard turned off.
    [[nodiscard]] constexpr safeguard_set without(safeguard which) const noexcept
    {
        safeguard_set result{*this};
        result.disabled_ |= bit(which);
        return result;
    }

    friend constexpr bool operator==(safeguard_set const&, safeguard_set const&) noexcept = default;

private:
    [[nodiscard]] static constexpr std::uint64_t bit(safeguard which) noexcept
    {
        return std::uint64_t{1} << static_cast<unsigned>(which);
    }

    std::uint64_t disabled_ = 0;
};

/// \brief Returns the name of a safeguard as the fault runner prints it.
[[nodiscard]] std::string_view safeguard_name(safeguard which) noexcept;

/// \brief Returns the safeguard of this name, or `safeguard::count`.
[[nodiscard]] safeguard safeguard_from_name(std::string_view name) noexcept;

} // namespace plumdale::coordination
