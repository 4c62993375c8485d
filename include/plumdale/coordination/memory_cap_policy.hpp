#pragma once

#include <plumdale/coordination/balancing_strategy.hpp>
#include <plumdale/coordination/dispatch_policy.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Baseline policy: a balancing strategy with a cap on the reported memory.

namespace plumdale::coordination
{

/// \brief Refuses a draft when every upstream reports more than `cap` of its memory in use, and a
/// question at the midpoint between `cap` and full; otherwise leaves the choice to a strategy.
class memory_cap_policy final : public dispatch_policy
{
public:
    /// \param cap Fraction of the memory, 0 to 1; above 1 nothing is refused.
    memory_cap_policy(std::unique_ptr<balancing_strategy> strategy, double cap);

    [[nodiscard]] dispatch_decision decide(dispatch_attempt const& attempt,
                                           fleet_snapshot const& fleet,
                                           state::time_point now) override;
    void started(state::stream_handle stream, state::request const& request,
                 upstream_view const& upstream, state::time_point now) override;
    void token(state::stream_handle stream, std::uint32_t index, state::time_point now) override;
    void ended(state::stream_handle stream, std::uint32_t tokens, stream_outcome outcome,
               state::time_point now) override;

private:
    std::unique_ptr<balancing_strategy> strategy_;
    double cap_;
    std::vector<upstream_view const*> candidates_;
    std::unordered_map<state::stream_handle, std::shared_ptr<upstream_gauge>> streams_;
};

} // namespace plumdale::coordination
