#pragma once

#include "shard_core.hpp"

#include <plumdale/coordination/key_homes.hpp>

/// \file
/// \brief What a shard decides about an idempotency key.

namespace plumdale::coordination
{

enum class key_verdict : std::uint8_t
{
    run,             ///< No attempt under this key ran; remember the key and run.
    attach,          ///< An earlier attempt started `generation`.
    relay,           ///< `home`, another VM, decides.
    in_use,          ///< The key was used for another request.
    in_doubt,        ///< This attempt is not run; an earlier one may have run.
    home_unreachable ///< Another home may be alive but unreachable; this attempt is not run.
};

/// \brief The verdict, with the generation or home that it refers to.
struct key_decision
{
    key_verdict verdict = key_verdict::in_doubt;
    state::generation_id generation;
    state::node_id home;
};

/// \brief Decides how a request with an idempotency key is handled. See
/// docs/design/02-ownership.md.
class key_resolver
{
public:
    explicit key_resolver(shard_core& core);

    /// \brief Records the members; called when the snapshot has changed, and periodically.
    void observe();
    [[nodiscard]] key_decision decide(state::request const& request, bool relayed) const;
    void remember(state::request const& request, state::generation_id const& id);

private:
    [[nodiscard]] bool first_attempt_may_run() const;
    [[nodiscard]] bool earlier_attempts_known(state::idempotency_key_id key) const;

    shard_core& core_;
    key_homes homes_;
    state::time_point started_at_ = state::never;
    state::time_point minority_since_ = state::never;
    bool was_in_majority_ = true;
};

} // namespace plumdale::coordination
