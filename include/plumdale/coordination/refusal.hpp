#pragma once

#include <plumdale/state/error_kind.hpp>

/// \file
/// \brief Error answers to calls; those that state that nothing ran need a proof.

namespace plumdale::coordination
{

class send_record;

/// \brief States that no send of a call has run or ever will. Only a record of sends makes it.
class never_ran
{
    friend class send_record;
    constexpr never_ran() noexcept = default;
};

/// \brief States so of the sends of this VM alone, for the VM that asked it to take the call.
class never_ran_here
{
    friend class send_record;
    constexpr never_ran_here() noexcept = default;
};

/// \brief Returns whether the error states that the request did not run.
[[nodiscard]] inline bool states_not_run(state::error_kind kind) noexcept
{
    return state::answer_for(kind).claim == state::run_claim::not_run;
}

/// \brief An error that a caller is answered with.
///
/// Kinds that state that nothing ran are kept only with a proof. Example:
/// \code
/// channel.refuse(sends.refusal_as(state::error_kind::overloaded), retry_after);
/// \endcode
class refusal
{
public:
    refusal(state::error_kind kind, never_ran /*proof*/) noexcept : kind_{kind} {}
    refusal(state::error_kind kind, never_ran_here /*proof*/) noexcept : kind_{kind} {}

    /// \brief Returns `may_have_run` in place of a kind that would state that nothing ran.
    [[nodiscard]] static refusal without_proof(state::error_kind kind) noexcept
    {
        return refusal{states_not_run(kind) ? state::error_kind::may_have_run : kind};
    }

    [[nodiscard]] state::error_kind kind() const noexcept
    {
        return kind_;
    }

private:
    explicit refusal(state::error_kind kind) noexcept : kind_{kind} {}

    state::error_kind kind_;
};

} // namespace plumdale::coordination
