#pragma once

#include "shard_core.hpp"

#include <plumdale/coordination/key_homes.hpp>

/// \file
/// \brief What a shard decides about an idempotency key.

namespace plumdale::coordination
{

enum class key_verdict : std::uint8_t
{
    run,             ///< No attempt under this key ran; remember it and run.
    attach,          ///< It led to `generation`.
    relay,           ///< `home` decides.
    in_use,          ///< The key was used for another request.
    in_doubt,        ///< This attempt is not run; an earlier one may have been.
    home_unreachable ///< The home can't be heard and may be alive elsewhere; this attempt is not
                     ///< run.
};

/// \brief The verdict and what goes with it.
struct key_decision
{
    key_verdict verdict = key_verdict::in_doubt;
    state::generation_id generation;
    state::node_id home;
};

/// \brief The rules of a key's home. See docs/design/02-ownership.md.
class key_resolver
{
public:
    explicit key_resolver(shard_core& core);

    /// \brief Notes the members; called when the snapshot changed and from time to time.
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
