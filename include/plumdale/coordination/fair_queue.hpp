#pragma once

#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <vector>

/// \file
/// \brief The order in which waiting requests are retried.

namespace plumdale::coordination
{

/// \brief Requests of one customer, kind and model keep their order; these flows take turns.
///
/// A customer with a thousand waiting drafts therefore delays neither another customer's only draft
/// nor its own question.
class fair_queue
{
public:
    /// \brief Identifies a flow: requests with an equal key share a queue.
    struct flow_key
    {
        state::customer_id customer;
        state::work_kind kind = state::work_kind::question;
        state::model_id model;
        friend auto operator<=>(flow_key const&, flow_key const&) noexcept = default;
    };

    void push(flow_key const& flow, state::generation_id const& id);
    void remove(flow_key const& flow, state::generation_id const& id);
    /// \brief Appends the first request of at most `count` flows to `out`. It starts after the flow
    /// that the previous call started with.
    void heads(std::size_t count, std::vector<state::generation_id>& out);
    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_;
    }

private:
    std::map<flow_key, std::deque<state::generation_id>> flows_;
    flow_key last_served_;
    std::size_t size_ = 0;
};

} // namespace plumdale::coordination
