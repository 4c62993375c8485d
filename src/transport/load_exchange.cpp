#include "load_exchange.hpp"

#include "boot_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using coordination::fleet_update;
using coordination::upstream_subset;

bool is_live(state::member_entry const& entry) noexcept
{
    return entry.info.health != state::member_health::dead;
}

} // namespace

load_exchange::load_exchange(forward_core& core, state::member_table const& members,
                             load_callbacks callbacks)
    : core_{core}, members_{members}, callbacks_{std::move(callbacks)},
      undivided_rows_{core.settings.load_news_bytes_per_second},
      divided_rows_{core.settings.load_news_bytes_per_second, 1}
{
}

void load_exchange::announce(state::member_key member)
{
    coordination::directory_entry const* const entry = core_.directory.find(member);
    bool const is_divided = entry != nullptr && core_.subset.divides(entry->info.service);
    (is_divided ? divided_rows_ : undivided_rows_).push(member);
    if (std::exchange(is_send_posted_, true))
    {
        return;
    }
    // Runs after the pending events, so that their changes are included.
    net::post(core_.context,
              [this]
              {
                  is_send_posted_ = false;
                  send_due();
              });
}

void load_exchange::advance()
{
    update_subsets();
    send_due();
}

void load_exchange::update_subsets()
{
    std::vector<state::zone_id> zones{state::id_from_name<state::zone_id>(core_.settings.zone)};
    for (state::member_entry const& entry : members_.entries())
    {
        if (entry.info.id != core_.self && is_live(entry))
        {
            zones.push_back(entry.info.zone);
        }
    }
    core_.subset.update_fleet(zones);
}

void load_exchange::send_due()
{
    state::time_point const now = boot_now();
    std::vector<state::endpoint> const peers = callbacks_.recipients();
    std::vector<state::member_key> const due = undivided_rows_.take_due(now, peers.size());
    if (!due.empty())
    {
        fleet_update update = callbacks_.make_update();
        for (state::member_key const member : due)
        {
            update.loads.push_back(core_.ledger.own(member));
        }
        callbacks_.send(update, peers);
    }
    // Each row has receivers of its own, about `min_vms` of them.
    for (auto row = divided_rows_.take_due(now, upstream_subset::min_vms); !row.empty();
         row = divided_rows_.take_due(now, upstream_subset::min_vms))
    {
        send_divided_row(row.front());
    }
}

void load_exchange::send_divided_row(state::member_key member)
{
    coordination::directory_entry const* const entry = core_.directory.find(member);
    if (entry == nullptr)
    {
        return;
    }
    auto const zone = state::id_from_name<state::zone_id>(entry->info.zone);
    double const share = core_.subset.share(entry->info.service, entry->info.zone);
    std::vector<state::endpoint> receivers;
    for (state::member_entry const& each : members_.entries())
    {
        bool const is_receiver = each.info.zone == zone && each.info.id != core_.self &&
                                 is_live(each) &&
                                 upstream_subset::contains(each.info.id, member, share);
        if (is_receiver)
        {
            receivers.push_back(each.info.datagrams);
        }
    }
    fleet_update update = callbacks_.make_update();
    update.loads.push_back(core_.ledger.own(member));
    callbacks_.send(update, receivers);
}

} // namespace plumdale::transport
