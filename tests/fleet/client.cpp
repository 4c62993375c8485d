#include "checked_callers.hpp"

namespace plumdale::test
{

std::size_t checked_callers::begin(order_kind kind, std::size_t node,
                                   std::function<void(order&)> const& first)
{
    std::size_t const which = orders.size();
    order each;
    each.name = "order" + std::to_string(which);
    each.kind = kind;
    each.node = node;
    each.begun = fleet->loop.now();
    if (first)
    {
        first(each);
    }
    orders.push_back(each);
    attempt(which);
    watch(which);
    expect_by_deadline(which);
    return which;
}

void checked_callers::hang_up(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    if (each.caller)
    {
        fleet->hang_up(each.node, each.caller);
        lose(which, node);
    }
}

void checked_callers::attach_twice(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    if (each.ended || !each.caller || !each.generation)
    {
        return;
    }
    extra_[each.caller] = which;
    by_caller_.erase(each.caller);
    each.node = node;
    attach(which);
}

void checked_callers::leave(std::size_t which, std::size_t node, duration away)
{
    order& each = orders[which];
    if (!each.caller)
    {
        return;
    }
    fleet->hang_up(each.node, each.caller);
    by_caller_.erase(each.caller);
    each.caller = {};
    fleet->loop.after(away, [this, which, node] { lose(which, node); });
}

void checked_callers::run_twice(std::size_t which, std::size_t node)
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
        extra_[caller] = which;
    }
}

void checked_callers::stall(std::size_t which)
{
    order const& each = orders[which];
    if (!each.caller || !each.streamed() || !each.body)
    {
        return;
    }
    fleet->to_node(each.node, caller_blocked{each.caller});
    std::uint64_t const life = fleet->nodes[each.node].life;
    fleet->loop.after(10s,
                      [this, which, caller = each.caller, node = each.node, life]
                      {
                          bool const same =
                              orders[which].caller == caller && fleet->nodes[node].life == life;
                          if (same && !orders[which].ended)
                          {
                              violate(orders[which].name + ": stopped reading, never let go");
                          }
                      });
}

void checked_callers::forge(std::size_t which, std::size_t node)
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
        extra_[caller] = which;
    }
}

time_point checked_callers::deadline_of(order const& each)
{
    return each.allowed == duration{} ? state::never : each.begun + each.allowed;
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
    if (each.allowed == duration{})
    {
        return;
    }
    fleet->loop.after(each.allowed + 1s,
                      [this, which]
                      {
                          order& due = orders[which];
                          bool const held = due.caller && due.body && !due.ended;
                          if (held && fleet->nodes[due.node].alive &&
                              !fleet->nodes[due.node].paused)
                          {
                              violate(due.name + ": held past its deadline, " + description(due));
                          }
                          due.ended = true;
                      });
}

void checked_callers::attempt(std::size_t which)
{
    order& each = orders[which];
    each.reading = false;
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
    // Some client libraries keep the whole event id, some only identity and index.
    request.upstream_hint = fleet->random() % 2 == 0 ? each.upstream : state::upstream_id{};
    request.next_index = each.next;
    request.deadline = deadline_of(each);
    each.reading = true;
    post(which, std::move(request));
}

void checked_callers::post(std::size_t which, state::request request)
{
    order& each = orders[which];
    each.heard = fleet->loop.now();
    each.caller = fleet->send(each.node, std::move(request));
    if (!each.caller)
    {
        return retry(which);
    }
    by_caller_[each.caller] = which;
}

void checked_callers::retry(std::size_t which)
{
    again(which, [this](std::size_t each) { orders[each].reading ? attach(each) : attempt(each); });
}

void checked_callers::lose(std::size_t which, std::size_t node)
{
    order& each = orders[which];
    by_caller_.erase(each.caller);
    each.caller = {};
    each.node = node;
    bool const readable = each.generation && (each.upstream || each.billed()) && each.body;
    bool const has_tokens = each.streamed() && each.next > 0;
    bool const gone = each.last == state::error_kind::unknown_generation;
    if (each.body && !each.billed() && !has_tokens)
    {
        return again(which, [this](std::size_t next) { renew(next); });
    }
    if (each.kind >= order_kind::keyed_draft && (!readable || !has_tokens || gone))
    {
        ++each.attempt;
        return again(which, [this](std::size_t next) { attempt(next); });
    }
    if (readable)
    {
        return again(which, [this](std::size_t next) { attach(next); });
    }
    ++each.attempt;
    again(which, [this](std::size_t next) { attempt(next); });
}

void checked_callers::renew(std::size_t which)
{
    order& each = orders[which];
    each.generation = {};
    each.upstream = {};
    attempt(which);
}

void checked_callers::again(std::size_t which, std::function<void(std::size_t)> what)
{
    order& each = orders[which];
    // A key is good for repeats within its window only.
    bool const late = each.kind >= order_kind::keyed_draft && fleet->loop.now() - each.begun > 45s;
    bool const due = fleet->loop.now() > deadline_of(each) - 1s;
    if (!each.patient || late || due || ++each.tries > most_tries)
    {
        each.ended = true;
        return;
    }
    fleet->loop.after(300ms + fleet->delay() * 200,
                      [this, which, what = std::move(what)]
                      {
                          if (!orders[which].ended && !orders[which].caller)
                          {
                              orders[which].node = fleet->random() % fleet->nodes.size();
                              what(which);
                          }
                      });
}

void checked_callers::watch(std::size_t which)
{
    fleet->loop.after(1s,
                      [this, which]
                      {
                          order const& each = orders[which];
                          if (each.ended)
                          {
                              return;
                          }
                          if (each.caller && each.patient && fleet->loop.now() - each.heard > 15s)
                          {
                              hang_up(which, each.node);
                          }
                          watch(which);
                      });
}

} // namespace plumdale::test
