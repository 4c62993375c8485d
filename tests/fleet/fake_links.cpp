#include "request_fleet.hpp"

namespace plumdale::test
{

void request_fleet::carry_out(std::size_t which, open_stream const& open)
{
    std::size_t const at = open.upstream.value - 500;
    if (!engines[at].alive || !reaches_engine(which, at))
    {
        return post_to_node(which, upstream_failed{open.stream, upstream_failure::not_connected});
    }
    loop.after(delay(), [this, which, at, open, life = nodes[which].life]
               { open_on_engine(which, at, open, life); });
}

void request_fleet::open_on_engine(std::size_t which, std::size_t at, open_stream const& open,
                                   std::uint64_t life)
{
    fake_engine& engine = engines[at];
    if (!nodes[which].signer->verify(open.generation))
    {
        engine_violations.emplace_back("an engine was asked for an identity that nobody gave out");
    }
    if (!engine.alive)
    {
        return post_to_node(which, upstream_failed{open.stream, upstream_failure::broken});
    }
    if (open.mode == stream_mode::start && engine.refuses)
    {
        return post_to_node(which, upstream_failed{open.stream, upstream_failure::refused});
    }
    if (open.mode == stream_mode::start)
    {
        std::uint32_t const length = 5 + static_cast<std::uint32_t>(random() % 60);
        runs.push_back({at, open.generation, open.body ? *open.body : "", open.body.get(),
                        loop.now(), length});
        engine.runs[open.generation] = runs.size() - 1;
        generate_tokens(runs.size() - 1);
    }
    auto const found = engine.runs.find(open.generation);
    if (found == engine.runs.end())
    {
        return post_to_node(which,
                            upstream_failed{open.stream, upstream_failure::unknown_generation});
    }
    if (nodes[which].alive && nodes[which].life == life)
    {
        engine.streams.push_back({which, open.stream, found->second, open.from_index});
        send_pending_tokens(at, engine.streams.size() - 1);
    }
}

void request_fleet::generate_tokens(std::size_t which)
{
    loop.after(shape_.token_gap,
               [this, which]
               {
                   engine_run& run = runs[which];
                   if (run.stopped)
                   {
                       return;
                   }
                   run.generated += engines[run.engine].stalled ? 0 : 1;
                   for (std::size_t i = 0; i < engines[run.engine].streams.size(); ++i)
                   {
                       if (engines[run.engine].streams[i].run == which)
                       {
                           send_pending_tokens(run.engine, i);
                       }
                   }
                   if (run.generated < run.length)
                   {
                       generate_tokens(which);
                   }
               });
}

void request_fleet::send_pending_tokens(std::size_t at, std::size_t index)
{
    fake_stream& stream = engines[at].streams[index];
    engine_run const& run = runs[stream.run];
    bool const lost = stream.paused || engines[at].silent.contains({stream.node, stream.handle}) ||
                      !reaches_engine(stream.node, at);
    if (lost)
    {
        return;
    }
    while (stream.next < run.generated)
    {
        std::uint32_t const next = stream.next++;
        if (chance(wire.skipped))
        {
            continue;
        }
        upstream_token token{stream.handle, run.id, next, token_text(stream.run, next)};
        if (chance(wire.foreign) && runs.size() > 1)
        {
            std::size_t const other = random() % runs.size();
            deliver_in_order(stream.node, upstream_token{stream.handle, runs[other].id, next,
                                                         token_text(other, next)});
        }
        deliver_in_order(stream.node, token);
        if (chance(wire.duplicate))
        {
            deliver_in_order(stream.node, token);
        }
    }
    if (stream.next == run.length)
    {
        ++stream.next;
        deliver_in_order(stream.node, upstream_finished{stream.handle, run.id, run.length});
    }
}

bool request_fleet::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<>{}(random) < share;
}

std::string request_fleet::token_text(std::size_t run, std::uint32_t index) const
{
    return runs[run].request + "/" + std::to_string(run) + "/" + std::to_string(index) + " ";
}

void request_fleet::deliver_in_order(std::size_t which, request_event event)
{
    loop.after(1ms,
               [this, which, life = nodes[which].life, event = std::move(event)]
               {
                   if (nodes[which].alive && nodes[which].life == life)
                   {
                       handle(which, event);
                   }
               });
}

void request_fleet::carry_out(std::size_t which, close_stream const& close)
{
    for (fake_engine& engine : engines)
    {
        std::erase_if(engine.streams, [&](fake_stream const& each)
                      { return each.node == which && each.handle == close.stream; });
    }
}

void request_fleet::carry_out(std::size_t which, cancel_generation const& cancel)
{
    std::size_t const at = cancel.upstream.value - 500;
    if (!reaches_engine(which, at))
    {
        return;
    }
    loop.after(delay(),
               [this, at, id = cancel.generation]
               {
                   auto const run = engines[at].runs.find(id);
                   if (run == engines[at].runs.end())
                   {
                       return;
                   }
                   runs[run->second].stopped = true;
                   engines[at].runs.erase(run);
               });
}

void request_fleet::carry_out(std::size_t which, pause_stream const& pause)
{
    set_paused(which, pause.stream, true);
}

void request_fleet::carry_out(std::size_t which, continue_stream const& more)
{
    set_paused(which, more.stream, false);
}

void request_fleet::set_paused(std::size_t which, state::stream_handle handle, bool paused)
{
    for (std::size_t at = 0; at < engines.size(); ++at)
    {
        for (std::size_t i = 0; i < engines[at].streams.size(); ++i)
        {
            fake_stream& each = engines[at].streams[i];
            if (each.node == which && each.handle == handle)
            {
                each.paused = paused;
                send_pending_tokens(at, i);
            }
        }
    }
}

void request_fleet::carry_out(std::size_t which, relay_request const& relay)
{
    std::size_t const to = relay.node.value - 100;
    if (!nodes[to].alive || nodes[to].closed || !reaches(which, to))
    {
        return post_to_node(which, relay_failed{relay.caller, false});
    }
    state::caller_handle const caller{++handles_};
    relays_[caller] = {which, relay.caller};
    nodes[to].callers.insert(caller);
    post_to_node(to, request_received{caller, relay.request, nodes[which].settings.self.id});
}

void request_fleet::carry_out(std::size_t which, close_relay const& close)
{
    for (auto relay = relays_.begin(); relay != relays_.end();)
    {
        if (relay->second != std::pair{which, close.caller})
        {
            ++relay;
            continue;
        }
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            if (nodes[i].callers.erase(relay->first) != 0)
            {
                post_to_node(i, caller_disconnected{relay->first});
            }
        }
        relay = relays_.erase(relay);
    }
}

void request_fleet::carry_out(std::size_t which, send_head const& head)
{
    deliver_to_caller(which, head, relay_head{{}, head.generation, head.upstream},
                      &caller_observer::head, false);
}

void request_fleet::carry_out(std::size_t which, send_token const& token)
{
    deliver_to_caller(which, token,
                      relay_token{{}, token.generation, token.upstream, token.index, token.text},
                      &caller_observer::token, false);
}

void request_fleet::carry_out(std::size_t which, send_finished const& end)
{
    deliver_to_caller(which, end, relay_finished{{}, end.generation, end.count, end.text},
                      &caller_observer::finished, true);
}

void request_fleet::carry_out(std::size_t which, send_refused const& end)
{
    deliver_to_caller(which, end,
                      relay_refused{{}, end.kind, end.retry_after, end.generation, end.next_index},
                      &caller_observer::refused, true);
}

} // namespace plumdale::test
