#include "reach_prober.hpp"

#include "boot_clock.hpp"
#include "forward_core.hpp"
#include "upstream_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;

/// \brief One connection on its way, and its time limit.
struct pending_probe
{
    explicit pending_probe(net::io_context& context) : socket{context}, timer{context} {}

    tcp::socket socket;
    net::steady_timer timer;
};

} // namespace

void reach_prober::advance(state::time_point now)
{
    for (state::member_key const member : choose(core_.reach.take_due_probes(now), now))
    {
        probe(member);
    }
}

std::vector<state::member_key> reach_prober::choose(std::size_t count, state::time_point now)
{
    std::vector<state::member_key> chosen;
    if (count == 0 || core_.routing == nullptr)
    {
        return chosen;
    }
    auto const& services = core_.routing->configuration().services;
    std::size_t const turns = services.empty() ? 0 : count * services.size();
    for (std::size_t turn = 0; turn < turns && chosen.size() < count; ++turn)
    {
        state::service const& service = services[(first_service_ + turn) % services.size()];
        if (auto const member = choose_of(service, chosen, now))
        {
            chosen.push_back(*member);
        }
    }
    ++first_service_;
    return chosen;
}

// Upstreams that have failed tell nothing more until the paths count as lost.
std::optional<state::member_key> reach_prober::choose_of(state::service const& service,
                                                         std::span<state::member_key const> chosen,
                                                         state::time_point now)
{
    auto const members = core_.directory.members_of(service.name);
    std::span<state::member_key const> const failed = core_.reach.failed();
    auto const contains = [](std::span<state::member_key const> keys, state::member_key key)
    {
        return std::find(keys.begin(), keys.end(), key) != keys.end();
    };
    std::size_t const first = members.empty() ? 0 : core_.random() % members.size();
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        state::member_key const key = members[(first + i) % members.size()];
        auto const* const entry = core_.directory.find(key);
        bool const is_known =
            contains(chosen, key) || (!core_.reach.is_lost() && contains(failed, key));
        if (entry != nullptr && !is_known && core_.directory.may_take_work(*entry, now))
        {
            return key;
        }
    }
    return std::nullopt;
}

void reach_prober::probe(state::member_key member)
{
    core_.metrics.add(forward_count::reach_probes);
    connect(member,
            [this, member](connection_failure failure)
            {
                if (failure != connection_failure::none)
                {
                    core_.note_connection_failed(member, failure);
                }
            });
}

void reach_prober::probe_suspect(state::member_key member)
{
    core_.metrics.add(forward_count::suspicion_probes);
    connect(member,
            [this, member](connection_failure failure)
            {
                if (failure != connection_failure::none)
                {
                    core_.note_finding(member, failure);
                }
            });
}

// A VM that lost its own paths, or has no descriptor left, learns nothing of the upstream.
void reach_prober::probe_end(state::member_key member)
{
    if (core_.directory.find(member) == nullptr)
    {
        return core_.quarantine.end_checked(member, false);
    }
    core_.metrics.add(forward_count::end_probes);
    connect(
        member,
        [this, member](connection_failure failure)
        {
            bool const is_unknown = failure == connection_failure::local || core_.reach.is_lost();
            core_.quarantine.end_checked(member, failure == connection_failure::none || is_unknown);
        });
}

// Where the own zone has no upstreams, only these probes show that the VM reaches none at all.
void reach_prober::probe_zone(state::zone_id zone, std::size_t count, state::time_point now)
{
    std::vector<state::member_key> members;
    bool has_own = false;
    for (auto const& [key, entry] : core_.directory.entries())
    {
        bool const is_of_zone = state::id_from_name<state::zone_id>(entry.info.zone) == zone;
        bool const is_usable = core_.directory.may_take_work(entry, now);
        has_own = has_own || (is_usable && entry.info.zone == core_.settings.zone);
        if (is_of_zone && is_usable)
        {
            members.push_back(key);
        }
    }
    std::shuffle(members.begin(), members.end(), core_.random);
    members.resize(std::min(count, members.size()));
    for (state::member_key const member : members)
    {
        has_own ? probe_suspect(member) : probe(member);
    }
}

void reach_prober::connect(state::member_key member,
                           std::function<void(connection_failure)> const& on_end)
{
    auto const pending = std::make_shared<pending_probe>(core_.context);
    if (open_from(pending->socket, core_.settings.upstream_source))
    {
        return on_end(connection_failure::local);
    }
    core_.note_connecting(member, true);
    pending->timer.expires_after(upstream_exchange::connect_timeout);
    // A socket that is closed ends its connecting with an error.
    pending->timer.async_wait(
        [pending](error_code error)
        {
            error_code ignored;
            if (!error)
            {
                pending->socket.close(ignored);
            }
        });
    pending->socket.async_connect(to_tcp(core_.directory.find(member)->info.address),
                                  [this, pending, member, on_end](error_code error)
                                  {
                                      pending->timer.cancel();
                                      core_.note_connecting(member, false);
                                      if (error)
                                      {
                                          return on_end(connection_failure_of(error));
                                      }
                                      core_.note_connected(member);
                                      core_.pool.keep(member, std::move(pending->socket),
                                                      upstream_pool::default_keep_alive,
                                                      boot_now());
                                      on_end(connection_failure::none);
                                  });
}

} // namespace plumdale::transport
