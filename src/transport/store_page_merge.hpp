#pragma once

#include <plumdale/protocol/dialect.hpp>
#include <plumdale/state/evacuation.hpp>

#include <algorithm>
#include <utility>

/// \file
/// \brief How pages of the store's operator entries make one.

namespace plumdale::transport
{

/// \brief Adds the next page of operators' entries. Pages are not one snapshot: the watch reports
/// changes since the first.
inline void add_operator_page(protocol::store_page& whole, protocol::store_page page)
{
    whole.revision = whole.revision == 0 ? page.revision : whole.revision;
    whole.newest_revision = std::max(whole.newest_revision, page.newest_revision);
    whole.next_page = std::move(page.next_page);
    if (!page.configuration.empty())
    {
        whole.configuration = std::move(page.configuration);
    }
    whole.orders.insert(whole.orders.end(), page.orders.begin(), page.orders.end());
}

/// \brief Returns the orders of evacuation in force by `page`. A lagging one states the store's
/// current revision, but its content is some seconds old: dated by that revision, it would undo an
/// order received from peers. The newest revision in its content is not too new.
[[nodiscard]] inline state::evacuations evacuations_in(protocol::store_page const& page,
                                                       protocol::read_consistency consistency)
{
    state::evacuations orders;
    orders.as_of =
        consistency == protocol::read_consistency::current ? page.revision : page.newest_revision;
    for (protocol::evacuation_order const& each : page.orders)
    {
        orders.in_force.push_back(each.change.order);
    }
    return orders;
}

} // namespace plumdale::transport
