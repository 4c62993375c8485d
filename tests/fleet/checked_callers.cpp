#include "checked_callers.hpp"

#include <sstream>

namespace plumdale::test
{

void checked_callers::head(state::caller_handle caller, send_head const& head)
{
    if (order* const each = find(caller))
    {
        each->generation = head.generation;
        each->upstream = head.upstream ? head.upstream : each->upstream;
    }
}

void checked_callers::token(state::caller_handle caller, send_token const& token)
{
    order* const each = find(caller);
    if (each == nullptr)
    {
        return;
    }
    each->generation = token.generation;
    each->upstream = token.upstream;
    check_token(*each, token.text);
    if (token.index + 1 != each->next)
    {
        add_violation(each->name + ": token " + std::to_string(token.index) + " in place of " +
                      std::to_string(each->next - 1));
    }
}

void checked_callers::finished(state::caller_handle caller, send_finished const& end)
{
    extra_callers_.erase(caller);
    order* const each = find(caller);
    if (each == nullptr)
    {
        return;
    }
    std::size_t const which = release(caller);
    if (each->kind == order_kind::reserved_draft && !each->attached && !each->body)
    {
        each->generation = end.generation;
        return fleet->loop.after(each->run_delay, [this, which] { attempt(which); });
    }
    std::istringstream words{end.text};
    each->next = each->streamed() ? each->next : 0;
    for (std::string word; words >> word;)
    {
        check_token(*each, word);
    }
    each->ended = true;
    each->whole = true;
    std::uint32_t const length = each->run.empty() ? 0 : fleet->runs[std::stoul(each->run)].length;
    if (each->next != length || end.count != length)
    {
        add_violation(each->name + ": ended after " + std::to_string(each->next) + " of " +
                      std::to_string(length));
    }
}

void checked_callers::refused(state::caller_handle caller, send_refused const& end)
{
    if (extra_callers_.erase(caller) != 0)
    {
        return;
    }
    order* const each = find(caller);
    if (each == nullptr)
    {
        return;
    }
    ++refusals[end.kind];
    each->last_error = end.kind;
    std::size_t const which = release(caller);
    auto const stated_claim = state::answer_for(end.kind).claim;
    bool const not_run = stated_claim == state::run_claim::not_run;
    if (not_run && each->body)
    {
        claimed_not_run_.push_back({each->name, each->body.get()});
    }
    if (not_run && each->kind == order_kind::reserved_draft && !each->body)
    {
        return retry(which);
    }
    if (not_run && !each->attached)
    {
        return retry(which);
    }
    recover(which, each->node);
}

void checked_callers::disconnected(state::caller_handle caller)
{
    extra_callers_.erase(caller);
    if (find(caller) != nullptr)
    {
        std::size_t const which = release(caller);
        recover(which, orders[which].node);
    }
}

void checked_callers::check()
{
    std::map<std::string, std::size_t> ran;
    for (engine_run const& run : fleet->runs)
    {
        ++ran[run.request];
        time_point const leaving = fleet->engines[run.engine].leaving_since;
        if (leaving != state::never && run.started > leaving + 2500ms)
        {
            add_violation(run.request + ": ran on a leaving engine");
        }
        for (auto const& [name, body] : claimed_not_run_)
        {
            if (run.attempt == body)
            {
                add_violation(name + ": ran after it was refused as not run");
            }
        }
    }
    for (order const& each : orders)
    {
        if (each.billed() && ran[each.name] > 1)
        {
            add_violation(each.name + ": billed and run " + std::to_string(ran[each.name]) +
                          " times");
        }
        if (!each.ended)
        {
            add_violation(each.name + ": never answered, " + description(each));
        }
    }
    for (std::string const& each : fleet->engine_violations)
    {
        add_violation(each);
    }
    for (auto const& [caller, which] : extra_callers_)
    {
        add_violation(orders[which].name + ": an earlier caller never received an answer");
    }
}

std::size_t checked_callers::whole() const
{
    std::size_t count = 0;
    for (order const& each : orders)
    {
        count += each.whole ? 1 : 0;
    }
    return count;
}

void checked_callers::add_violation(std::string violation)
{
    violations.push_back(std::move(violation));
}

std::string checked_callers::description(order const& each)
{
    std::string text = "kind " + std::to_string(static_cast<int>(each.kind));
    text += each.attached ? ", attached" : ", running";
    text += ", next " + std::to_string(each.next) + ", tries " + std::to_string(each.tries);
    text += each.last_error == state::error_kind::count
                ? std::string{}
                : ", last " + std::string{state::answer_for(each.last_error).name};
    return text;
}

order* checked_callers::find(state::caller_handle caller)
{
    auto const found = by_caller_.find(caller);
    if (found == by_caller_.end())
    {
        return nullptr;
    }
    orders[found->second].last_contact = fleet->loop.now();
    return &orders[found->second];
}

std::size_t checked_callers::release(state::caller_handle caller)
{
    std::size_t const which = by_caller_.at(caller);
    by_caller_.erase(caller);
    orders[which].caller = {};
    return which;
}

void checked_callers::check_token(order& each, std::string const& text)
{
    std::size_t const first = text.find('/');
    std::size_t const second = text.find('/', first + 1);
    std::string const run = text.substr(first + 1, second - first - 1);
    if (text.substr(0, first) != each.name)
    {
        add_violation(each.name + ": got a token of " + text.substr(0, first));
    }
    if (each.next != 0 && run != each.run)
    {
        add_violation(each.name + ": tokens of two runs");
    }
    if (std::stoul(text.substr(second + 1)) != each.next)
    {
        add_violation(each.name + ": token out of order");
    }
    each.run = run;
    ++each.next;
}

} // namespace plumdale::test
