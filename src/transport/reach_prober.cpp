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
    auto const pending = std::make_shared<pending_probe>(core_.context);
    if (open_from(pending->socket, core_.settings.upstream_source))
    {
        return;
    }
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
    pending->socket.async_connect(
        to_tcp(core_.directory.find(member)->info.address),
        [this, pending, member](error_code error)
        {
            pending->timer.cancel();
            if (error)
            {
                return core_.note_connection_failed(member, connection_failure_of(error));
            }
            core_.note_connected();
            core_.pool.keep(member, std::move(pending->socket), upstream_pool::default_keep_alive,
                            boot_now());
        });
}

} // namespace plumdale::transport
