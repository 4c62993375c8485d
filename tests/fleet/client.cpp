#include "checked_callers.hpp"

namespace plumdale::test
{

std::size_t checked_callers::begin(order_kind kind, std::size_t node,
                                   std::function<void(order&)> const& prepare)
{
    std::size_t const which = orders.size();
    order each;
    each.name = "order" + std::to_string(which);
    each.kind = kind;
    each.node = node;
    each.started_at = fleet->loop.now();
    if (prepare)
    {
        prepare(each);
    }
    orders.push_back(each);
    attempt(which);
    watch_for_silence(which);
    expect_by_deadline(which);
    return which;
}

void checked_callers::disconnect(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    if (each.caller)
    {
        fleet->disconnect(each.node, each.caller);
        recover(which, node);
    }
}

void checked_callers::attach_second_connection(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    if (each.ended || !each.caller || !each.generation)
    {
        return;
    }
    extra_callers_[each.caller] = which;
    by_caller_.erase(each.caller);
    each.node = node;
    attach(which);
}

void checked_callers::disconnect_for(std::size_t which, std::size_t node, duration absence)
{
    order& each = orders[which];
    if (!each.caller)
    {
        return;
    }
    fleet->disconnect(each.node, each.caller);
    by_caller_.erase(each.caller);
    each.caller = {};
    fleet->loop.after(absence, [this, which, node] { recover(which, node); });
}

void checked_callers::send_duplicate(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    if (!each.billed() || !each.body)
    {
        return;
    }
    ++each.attempt;
    state::request request = run_request(each);
    bodies_.push_back(std::make_shared<std::string const>(each.name));
    request.body = bodies_.back();
    if (state::caller_handle const caller = fleet->send(node, std::move(request)))
    {
        extra_callers_[caller] = which;
    }
}

void checked_callers::stop_reading(std::size_t which)
{
    order const& each = orders[which];
    if (!each.caller || !each.streamed() || !each.body)
    {
        return;
    }
    fleet->post_to_node(each.node, caller_blocked{each.caller});
    std::uint64_t const life = fleet->nodes[each.node].life;
    fleet->loop.after(
        10s,
        [this, which, caller = each.caller, node = each.node, life]
        {
            bool const same = orders[which].caller == caller && fleet->nodes[node].life == life;
            if (same && !orders[which].ended)
            {
                add_violation(orders[which].name + ": stopped reading, its stream never ended");
            }
        });
}

void checked_callers::send_forged_identity(std::size_t which, std::size_t node)
{
    state::request request;
    request.op = state::operation::attach;
    request.generation = orders[which].generation;
    request.generation.sequence += 1;
    request.generation.owner = {100 + node};
    request.generation.incarnation_number = fleet->nodes[node].settings.self.incarnation_number;
    request.upstream_hint = {500};
    if (state::caller_handle const caller = fleet->send(node, std::move(request)))
    {
        extra_callers_[caller] = which;
    }
}

time_point checked_callers::deadline_of(order const& each)
{
    return each.time_limit == duration{} ? state::never : each.started_at + each.time_limit;
}

state::request checked_callers::run_request(order const& each) const
{
    state::request request;
    request.model = fleet->model;
    request.kind = each.billed() ? state::work_kind::draft : state::work_kind::question;
    request.repeatable = !each.billed();
    request.streamed = each.streamed();
    request.deadline = deadline_of(each);
    request.attempt = each.numbered ? each.attempt : 0;
    if (each.kind == order_kind::reserved_draft)
    {
        request.generation = each.generation;
    }
    if (each.kind >= order_kind::keyed_draft)
    {
        request.key = {state::stable_hash(each.name)};
    }
    return request;
}

void checked_callers::expect_by_deadline(std::size_t which)
{
    order const& each = orders[which];
    if (each.time_limit == duration{})
    {
        return;
    }
    fleet->loop.after(
        each.time_limit + 1s,
        [this, which]
        {
            order& expected = orders[which];
            bool const still_held = expected.caller && expected.body && !expected.ended;
            if (still_held && fleet->nodes[expected.node].alive &&
                !fleet->nodes[expected.node].paused)
            {
                add_violation(expected.name + ": held past its deadline, " + description(expected));
            }
            expected.ended = true;
        });
}

void checked_callers::attempt(std::size_t which)
{
    order& each = orders[which];
    each.attached = false;
    if (each.kind == order_kind::reserved_draft && !each.generation)
    {
        state::request reservation;
        reservation.op = state::operation::reserve;
        return post(which, std::move(reservation));
    }
    state::request request = run_request(each);
    each.next = 0;
    each.run.clear();
    each.body = std::make_shared<std::string const>(each.name);
    bodies_.push_back(each.body);
    request.body = each.body;
    post(which, std::move(request));
}

void checked_callers::attach(std::size_t which)
{
    order& each = orders[which];
    state::request request;
    request.op = state::operation::attach;
    request.streamed = each.streamed();
    request.generation = each.generation;
    // Some client libraries keep the complete event id, some only the identity and the index.
    request.upstream_hint = fleet->random() % 2 == 0 ? each.upstream : state::upstream_id{};
    request.next_index = each.next;
    request.deadline = deadline_of(each);
    each.attached = true;
    post(which, std::move(request));
}

void checked_callers::post(std::size_t which, state::request request)
{
    order& each = orders[which];
    each.last_contact = fleet->loop.now();
    each.caller = fleet->send(each.node, std::move(request));
    if (!each.caller)
    {
        return retry(which);
    }
    by_caller_[each.caller] = which;
}

void checked_callers::retry(std::size_t which)
{
    schedule_retry(which, [this](std::size_t each)
                   { orders[each].attached ? attach(each) : attempt(each); });
}

void checked_callers::recover(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    by_caller_.erase(each.caller);
    each.caller = {};
    each.node = node;
    bool const readable = each.generation && (each.upstream || each.billed()) && each.body;
    bool const has_tokens = each.streamed() && each.next > 0;
    bool const generation_unknown = each.last_error == state::error_kind::unknown_generation;
    if (each.body && !each.billed() && !has_tokens)
    {
        return schedule_retry(which, [this](std::size_t next) { restart(next); });
    }
    if (each.kind >= order_kind::keyed_draft && (!readable || !has_tokens || generation_unknown))
    {
        ++each.attempt;
        return schedule_retry(which, [this](std::size_t next) { attempt(next); });
    }
    if (readable)
    {
        return schedule_retry(which, [this](std::size_t next) { attach(next); });
    }
    ++each.attempt;
    schedule_retry(which, [this](std::size_t next) { attempt(next); });
}

void checked_callers::restart(std::size_t which)
{
    order& each = orders[which];
    each.generation = {};
    each.upstream = {};
    attempt(which);
}

void checked_callers::schedule_retry(std::size_t which, std::function<void(std::size_t)> action)
{
    order& each = orders[which];
    // A key protects repeats within its window only.
    bool const key_window_over =
        each.kind >= order_kind::keyed_draft && fleet->loop.now() - each.started_at > 45s;
    bool const near_deadline = fleet->loop.now() > deadline_of(each) - 1s;
    if (!each.retries || key_window_over || near_deadline || ++each.tries > max_tries)
    {
        each.ended = true;
        return;
    }
    fleet->loop.after(300ms + fleet->delay() * 200,
                      [this, which, action = std::move(action)]
                      {
                          if (!orders[which].ended && !orders[which].caller)
                          {
                              orders[which].node = fleet->random() % fleet->nodes.size();
                              action(which);
                          }
                      });
}

void checked_callers::watch_for_silence(std::size_t which)
{
    fleet->loop.after(1s,
                      [this, which]
                      {
                          order const& each = orders[which];
                          if (each.ended)
                          {
                              return;
                          }
                          if (each.caller && each.retries &&
                              fleet->loop.now() - each.last_contact > 15s)
                          {
                              disconnect(which, each.node);
                          }
                          watch_for_silence(which);
                      });
}

} // namespace plumdale::test
