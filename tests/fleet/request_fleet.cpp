#include "request_fleet.hpp"

namespace plumdale::test
{

void request_fleet::start_node(std::size_t which)
{
    fake_node& node = nodes[which];
    std::uint64_t const life = node.life + 1;
    std::size_t const zone = node.zone;
    node = {};
    node.life = life;
    node.zone = zone;
    node.alive = true;
    node.settings.self = {{100 + which}, {zone + 1}, {life}, 0, {}, {}, {}};
    node.settings.fleet_key = "an example fleet key";
    node.settings.seeds.resize(shape_.nodes);
    node.settings.token_timeout = 1500ms;
    node.settings.first_token_timeout = 3s;
    node.settings.key_window = shape_.key_window;
    node.settings.slow_reader_time = 8s;
    node.settings.safeguards = shape_.safeguards;
    node.signer = std::make_unique<identity_signer>(node.settings.fleet_key);
    node.fleet =
        std::make_unique<published<fleet_snapshot>>(std::make_shared<fleet_snapshot const>());
    node.in_flight = std::make_unique<std::atomic<std::uint32_t>>(0);
    shard_context const context{node.settings, *node.signer, *node.fleet, *node.in_flight};
    node.shard = std::make_unique<request_shard>(context, 0, std::make_unique<least_in_flight>());
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        if (nodes[i].alive && i != which && reaches(which, i))
        {
            node.last_contact[i] = loop.now();
        }
    }
    refresh_view(which, node.life);
}

void request_fleet::stop_node(std::size_t which)
{
    fake_node& node = nodes[which];
    node.alive = false;
    for (state::caller_handle const caller : std::exchange(node.callers, {}))
    {
        if (auto const relay = relays_.find(caller); relay != relays_.end())
        {
            auto const [from, original] = relay->second;
            relays_.erase(relay);
            post_to_node(from, relay_failed{original, true});
        }
        else
        {
            callers_.disconnected(caller);
        }
    }
    std::erase_if(relays_, [which](auto const& each) { return each.second.first == which; });
    for (fake_engine& engine : engines)
    {
        std::erase_if(engine.streams, [which](auto const& each) { return each.node == which; });
    }
}

void request_fleet::drain_node(std::size_t which)
{
    nodes[which].draining = true;
    publish_view(which);
    await_drain(which, nodes[which].life);
}

void request_fleet::wake_node(std::size_t which)
{
    fake_node& node = nodes[which];
    node.paused = false;
    for (request_event const& event : std::exchange(node.inbox, {}))
    {
        handle(which, event);
    }
}

void request_fleet::stop_engine(std::size_t which)
{
    fake_engine& engine = engines[which];
    for (auto const& [id, run] : engine.runs)
    {
        runs[run].stopped = true;
    }
    for (fake_stream const& each : std::exchange(engine.streams, {}))
    {
        post_to_node(each.node, upstream_failed{each.handle, upstream_failure::broken});
    }
    engine.runs.clear();
    engine.alive = false;
}

void request_fleet::silence_engine(std::size_t which)
{
    for (fake_stream const& each : engines[which].streams)
    {
        engines[which].silent.insert({each.node, each.handle});
    }
}

bool request_fleet::reaches(std::size_t a, std::size_t b) const
{
    return !cut_zone || (nodes[a].zone == *cut_zone) == (nodes[b].zone == *cut_zone);
}

bool request_fleet::reaches_engine(std::size_t node, std::size_t engine) const
{
    return !cut_zone || (nodes[node].zone == *cut_zone) == (engine % shape_.zones == *cut_zone);
}

state::caller_handle request_fleet::send(std::size_t node, state::request request)
{
    if (!nodes[node].alive || nodes[node].closed)
    {
        return {};
    }
    state::caller_handle const caller{++handles_};
    nodes[node].callers.insert(caller);
    request.api_key = customer.api_key;
    post_to_node(node, request_received{caller, std::move(request), {}});
    return caller;
}

void request_fleet::disconnect(std::size_t node, state::caller_handle caller)
{
    nodes[node].callers.erase(caller);
    post_to_node(node, caller_disconnected{caller});
}

duration request_fleet::delay()
{
    return std::chrono::microseconds{500 + random() % 2000};
}

void request_fleet::post_to_node(std::size_t which, request_event event)
{
    std::uint64_t const life = nodes[which].life;
    loop.after(delay(),
               [this, which, life, event = std::move(event)]
               {
                   if (nodes[which].alive && nodes[which].life == life)
                   {
                       handle(which, event);
                   }
               });
}

void request_fleet::handle(std::size_t which, request_event const& event)
{
    fake_node& node = nodes[which];
    if (node.paused)
    {
        node.inbox.push_back(event);
        return;
    }
    request_actions actions;
    node.shard->handle(event, loop.now(), actions);
    for (request_action const& each : actions)
    {
        std::visit([&](auto const& action) { carry_out(which, action); }, each);
    }
    arm_timer(which);
}

void request_fleet::await_drain(std::size_t which, std::uint64_t life)
{
    fake_node& node = nodes[which];
    if (!node.alive || node.life != life)
    {
        return;
    }
    bool const idle = !node.paused && *node.in_flight == 0;
    if (idle && node.closed)
    {
        if (!node.callers.empty())
        {
            engine_violations.emplace_back("a caller was cut off by a drain");
        }
        return stop_node(which);
    }
    // Requests in flight are still answered; new connections are refused.
    node.closed = idle;
    loop.after(10ms, [this, which, life] { await_drain(which, life); });
}

void request_fleet::arm_timer(std::size_t which)
{
    fake_node& node = nodes[which];
    time_point const due = std::max(node.shard->next_deadline(), loop.now());
    if (due >= node.timer && node.timer >= loop.now())
    {
        return;
    }
    node.timer = due;
    loop.after(due - loop.now(),
               [this, which, life = node.life, due]
               {
                   fake_node& woken = nodes[which];
                   if (woken.alive && woken.life == life && woken.timer == due)
                   {
                       woken.timer = state::never;
                       handle(which, deadline_reached{});
                   }
               });
}

void request_fleet::refresh_view(std::size_t which, std::uint64_t life)
{
    fake_node& node = nodes[which];
    if (!node.alive || node.life != life)
    {
        return;
    }
    if (!node.paused)
    {
        publish_view(which);
    }
    loop.after(300ms + delay() * 100, [this, which, life] { refresh_view(which, life); });
}

void request_fleet::publish_view(std::size_t which)
{
    fake_node& node = nodes[which];
    node.view.ready = true;
    node.view.draining = node.draining;
    node.view.customers = {customer};
    node.view.preset.retry_after = 500ms;
    std::vector<state::member> known = std::exchange(node.view.members, {});
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        bool const reached = nodes[i].alive && reaches(which, i);
        if (i != which && (reached || node.last_contact.contains(i)))
        {
            node.view.members.push_back(observed_member(which, i, known));
        }
    }
    update_upstream_views(node);
    node.fleet->publish(std::make_shared<fleet_snapshot const>(node.view));
    arm_timer(which);
}

state::member request_fleet::observed_member(std::size_t which, std::size_t other,
                                             std::vector<state::member> const& known)
{
    fake_node const& seen = nodes[other];
    fake_node& node = nodes[which];
    state::member result = seen.settings.self;
    bool const in_contact = seen.alive && !seen.paused && reaches(which, other);
    if (in_contact)
    {
        node.last_contact[other] = loop.now();
        result.health = seen.draining ? state::member_health::leaving : state::member_health::alive;
        for (state::member const& each : seen.view.members)
        {
            bool const dead = each.id == node.settings.self.id &&
                              each.incarnation_number == node.settings.self.incarnation_number &&
                              each.health == state::member_health::dead;
            node.view.presumed_dead_at = dead ? loop.now() : node.view.presumed_dead_at;
        }
        return result;
    }
    for (state::member const& each : known)
    {
        result = each.id == result.id ? each : result;
    }
    duration const silence = loop.now() - node.last_contact[other];
    bool const left = result.health == state::member_health::leaving && !seen.alive;
    result.health = silence > 3s       ? state::member_health::dead
                    : left             ? state::member_health::leaving
                    : silence > 1500ms ? state::member_health::suspect
                                       : result.health;
    return result;
}

void request_fleet::update_upstream_views(fake_node& node)
{
    std::vector<upstream_view> views;
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        upstream_view view;
        view.info.id = {500 + i};
        view.info.model = model;
        upstream_view const* const known = node.view.find_upstream(view.info.id);
        view.gauge = known != nullptr ? known->gauge : std::make_shared<upstream_gauge>();
        view.accepting =
            engines[i].leaving_since == state::never ||
            loop.now() < engines[i].leaving_since + (upstream_list_frozen ? 1s : upstream_list_lag);
        views.push_back(std::move(view));
    }
    node.view.upstreams = std::move(views);
}

} // namespace plumdale::test
