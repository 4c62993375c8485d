#pragma once

#include <plumdale/coordination/refusal.hpp>
#include <plumdale/coordination/send_proof.hpp>
#include <plumdale/state/service_member.hpp>

#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// \brief The sends of one call, and what is proved of each.

namespace plumdale::coordination
{

/// \brief One send of a call.
struct recorded_send
{
    state::member_key receiver;
    bool is_written = false;
    send_proof proof = send_proof::none;
};

/// \brief Records each send of a call; decides what its caller may be told and whether it may be
/// sent again.
///
/// A send that was written may run until its proof is here. Example:
/// \code
/// send_record sends;
/// sends.begin(upstream);
/// sends.note_written();
/// sends.end(proof_in({true, is_whole, has_own_id, states_not_run}));
/// channel.refuse(sends.refusal_as(state::error_kind::overloaded), retry_after);
/// \endcode
class send_record
{
public:
    /// \brief `runs_elsewhere` are sends of other VMs that may have run.
    explicit send_record(std::uint32_t runs_elsewhere = 0) noexcept
        : runs_elsewhere_{runs_elsewhere}
    {
    }

    /// \brief Begins a send to an upstream or a peer: a connection is chosen, nothing is written.
    void begin(state::member_key receiver);
    /// \brief From now on the newest send may run.
    void note_written() noexcept;
    /// \brief Records what is proved of the newest send. A proof is never taken back.
    void end(send_proof proof) noexcept;

    /// \brief Returns how many sends were written.
    [[nodiscard]] std::uint32_t written() const noexcept;
    [[nodiscard]] bool has_written_to(state::member_key receiver) const noexcept;
    /// \brief Returns how many sends may have run or may run, of this VM and of others.
    [[nodiscard]] std::uint32_t possible_runs() const noexcept;
    /// \brief Returns the proof of the newest send.
    [[nodiscard]] send_proof newest_proof() const noexcept;

    /// \brief Returns none if any send may have run.
    [[nodiscard]] std::optional<never_ran> prove_never_ran() const noexcept;
    /// \brief Returns none if any send of this VM may have run.
    [[nodiscard]] std::optional<never_ran_here> prove_never_ran_here() const noexcept;
    /// \brief Returns whether the call may be sent once more: it may run again and has not run
    /// `max_runs` times, or no send of it ever runs.
    [[nodiscard]] bool may_send_again(bool is_idempotent, std::uint32_t max_runs) const noexcept;

    /// \brief Returns the error that a caller may be told: `kind`, or `may_have_run` where that
    /// would be a promise without a proof.
    [[nodiscard]] refusal refusal_as(state::error_kind kind) const noexcept;
    /// \brief Returns the error with which a peer's call is declined, of this VM's sends alone.
    [[nodiscard]] refusal decline_as(state::error_kind kind) const noexcept;

private:
    [[nodiscard]] std::uint32_t possible_runs_here() const noexcept;

    std::vector<recorded_send> sends_;
    std::uint32_t runs_elsewhere_;
};

} // namespace plumdale::coordination
