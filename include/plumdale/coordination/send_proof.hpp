#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// \brief What proves that a send of a call never runs, or runs no more.

namespace plumdale::coordination
{

/// \brief The closed list of proofs. The end of a channel, a timeout, silence and the word of
/// anybody but the upstream are none.
enum class send_proof : std::uint8_t
{
    none,          ///< It may run, now or later.
    not_written,   ///< Nothing of it was written to a connection.
    refused,       ///< The upstream stated under the call's id that it did not run it.
    stopped,       ///< The upstream carried out an order to stop it.
    unknown_there, ///< Asked to stop a run that had begun, the upstream knew none of that name.
    process_gone,  ///< Its channel ended, and its upstream refuses connections.
    restarted,     ///< The upstream itself states a later start than that which had it.
    count          ///< Number of proofs; not one.
};

/// \brief Returns whether the send did not run and never will: what a promise needs.
[[nodiscard]] constexpr bool proves_never_ran(send_proof proof) noexcept
{
    return proof == send_proof::not_written || proof == send_proof::refused;
}

/// \brief Returns whether nothing of the send runs any more: what going on elsewhere needs.
[[nodiscard]] constexpr bool proves_ended(send_proof proof) noexcept
{
    return proof != send_proof::none && proof != send_proof::count;
}

/// \brief Returns the word for a proof in log lines.
[[nodiscard]] std::string_view to_text(send_proof proof) noexcept;

/// \brief What one exchange with an upstream or a peer showed.
struct exchange_evidence
{
    /// \brief A byte of the call may have been written.
    bool is_written = true;
    /// \brief A whole answer came.
    bool is_whole = false;
    /// \brief It bears the call's own id.
    bool has_own_id = false;
    /// \brief It states that the call did not run.
    bool states_not_run = false;
};

/// \brief Returns what an exchange that has ended proves of its send.
[[nodiscard]] constexpr send_proof proof_in(exchange_evidence const& seen) noexcept
{
    if (!seen.is_written)
    {
        return send_proof::not_written;
    }
    return seen.is_whole && seen.has_own_id && seen.states_not_run ? send_proof::refused
                                                                   : send_proof::none;
}

/// \brief States that a run is over. Can be made only from a proof.
class run_ended
{
public:
    /// \brief Returns none if `proof` proves no end.
    [[nodiscard]] static constexpr std::optional<run_ended> by(send_proof proof) noexcept
    {
        return proves_ended(proof) ? std::optional{run_ended{proof}} : std::nullopt;
    }
    [[nodiscard]] constexpr send_proof proof() const noexcept
    {
        return proof_;
    }

private:
    constexpr explicit run_ended(send_proof proof) noexcept : proof_{proof} {}

    send_proof proof_;
};

} // namespace plumdale::coordination
