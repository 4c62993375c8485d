#pragma once

#include <plumdale/coordination/dispatch_policy.hpp>

#include <unordered_map>

/// \file
/// \brief Baseline policy: the upstream with the fewest own streams.

namespace plumdale::coordination
{

/// \brief Sends each request to the accepting upstream with the fewest own streams; never refuses
/// while there is one.
class least_in_flight final : public dispatch_policy
{
public:
    [[nodiscard]] dispatch_decision decide(dispatch_attempt const& attempt,
                                           fleet_snapshot const& fleet,
                                           state::time_point now) override;
    void started(state::stream_handle stream, state::request const& request,
                 upstream_view const& upstream, state::time_point now) override;
    void token(state::stream_handle stream, std::uint32_t index, state::time_point now) override;
    void ended(state::stream_handle stream, std::uint32_t tokens, stream_outcome outcome,
               state::time_point now) override;

private:
    std::unordered_map<state::stream_handle, std::shared_ptr<upstream_gauge>> streams_;
};

} // namespace plumdale::coordination
