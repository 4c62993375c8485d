#include "moved_generation.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::test
{

using namespace coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstream_count = 6;
constexpr state::duration memory_lifetime = 5s;
constexpr state::duration patience = 16s;
constexpr state::duration caller_time = 39s;
constexpr state::duration event_gap = 60ms;
constexpr state::duration round_trip = 2ms;
/// \brief For how long an upstream that leaves takes a resumption.
constexpr state::duration new_notice = 600ms;
constexpr std::uint32_t most_repeats = 3;

} // namespace

moved_generation::moved_generation(std::uint32_t seed)
    : random_{seed * 7919U + 1U}, failover_{key{1}, rules()}
{
    for (std::size_t i = 0; i < upstream_count; ++i)
    {
        add_upstream();
    }
    events_left_ = 60 + static_cast<std::uint32_t>(200 * draw());
    begin_run(key{1});
    after(between(100ms, 900ms), [this] { leave(key{1}); });
    after(between(100ms, 900ms), [this] { leave(key{1 + random_() % upstream_count}); });
}

// -- draws and time -------------------------------------------------------------------------------

double moved_generation::draw()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_);
}

bool moved_generation::chance(double share)
{
    return draw() < share;
}

state::duration moved_generation::between(state::duration from, state::duration to)
{
    return from + std::chrono::duration_cast<state::duration>(draw() * (to - from));
}

void moved_generation::after(state::duration delay, std::function<void()> event)
{
    events_.emplace(now_ + delay, std::move(event));
}

void moved_generation::tell(std::function<void(failover_actions&)> const& event)
{
    failover_actions actions;
    event(actions);
    for (failover_action const& action : actions)
    {
        std::visit([this](auto const& each) { carry_out(each); }, action);
    }
}

void moved_generation::play()
{
    // Each repeat that is earned.
    std::function<void()> const earn = [this]
    {
        repeats_ = std::min(repeats_ + 1, most_repeats);
    };
    state::duration const drought = chance(0.1) ? between(2s, 14s) : 0ms;
    repeats_ = drought > 0ms ? 0 : 2;
    for (state::duration at = drought; at < caller_time; at += between(200ms, 1'500ms))
    {
        after(at, earn);
    }
    while (result_ == outcome::open)
    {
        state::time_point const caller_leaves =
            std::min(begun_at_ + caller_time, is_open_ ? state::never : last_event_at_ + patience);
        state::time_point const next_event =
            events_.empty() ? state::never : events_.begin()->first;
        state::time_point const next =
            std::min({next_event, failover_.next_deadline(), caller_leaves});
        now_ = std::max(now_, next);
        note_idle();
        if (now_ >= caller_leaves)
        {
            result_ = outcome::time_over;
        }
        else if (now_ >= next_event)
        {
            auto const event = events_.begin()->second;
            events_.erase(events_.begin());
            event();
        }
        else
        {
            tell([this](failover_actions& actions) { failover_.advance(now_, actions); });
        }
    }
}

// -- upstreams ------------------------------------------------------------------------------------

void moved_generation::add_upstream()
{
    upstream& added = upstreams_[key{next_key_++}];
    if (chance(0.4))
    {
        added.refuses_until = now_ + between(50ms, 3s);
    }
}

// It ends once it runs nothing, so that no stream is broken off by it.
void moved_generation::leave(key at)
{
    upstream& leaving = upstreams_[at];
    if (leaving.leaves_since)
    {
        return;
    }
    leaving.leaves_since = now_;
    add_upstream();
    tell([this, at](failover_actions& actions)
         { failover_.destination_leaves(at, now_, actions); });
    if (at == at_ && is_open_ && !is_resuming_)
    {
        tell_departure();
    }
    after(between(2s, 8s),
          [this, at]
          {
              upstream& ending = upstreams_[at];
              ending.is_gone = !ending.runs;
          });
}

void moved_generation::tell_departure()
{
    copy_schedule times{state::never, now_ + between(300ms, 1'200ms)};
    if (chance(0.7))
    {
        times.first = first_copy_times{now_ + between(0ms, 200ms), now_ + between(500ms, 2s)};
    }
    tell([this, times](failover_actions& actions)
         { failover_.source_leaves(times, now_, actions); });
}

void moved_generation::begin_run(key at)
{
    at_ = at;
    upstreams_[at].runs = true;
    is_open_ = true;
    std::uint64_t const run = ++run_;
    after(between(20ms, 150ms), [this, at, run] { produce(at, run); });
    most_runs_ = std::max<std::size_t>(
        most_runs_,
        static_cast<std::size_t>(std::count_if(upstreams_.begin(), upstreams_.end(),
                                               [](auto const& row) { return row.second.runs; })));
}

void moved_generation::produce(key at, std::uint64_t run)
{
    if (run != run_ || !upstreams_[at].runs || !is_open_)
    {
        return;
    }
    last_event_at_ = now_;
    if (std::exchange(is_resuming_, false))
    {
        ++resumptions_;
        was_stopped_ = false;
        told_.clear();
        failover_.resumed(now_);
        if (upstreams_[at].leaves_since)
        {
            tell_departure();
        }
        else if (chance(0.4))
        {
            after(between(50ms, 1'500ms), [this, at] { leave(at); });
        }
    }
    if (--events_left_ == 0)
    {
        result_ = outcome::whole;
        return;
    }
    after(event_gap, [this, at, run] { produce(at, run); });
}

void moved_generation::end_run(key at)
{
    upstreams_[at].runs = false;
    after(5ms,
          [this, run = run_]
          {
              if (run != run_ || !std::exchange(is_open_, false))
              {
                  return;
              }
              tell([this](failover_actions& actions) { failover_.source_ended(now_, actions); });
          });
}

// -- rules ----------------------------------------------------------------------------------------

move_rules moved_generation::rules()
{
    move_rules made;
    made.select_destination = [this](key, std::span<key const> excluded)
    {
        return choose(excluded);
    };
    made.may_resume_at = [this](key at)
    {
        return may_resume_at(at);
    };
    made.takes_runs = [this](key at)
    {
        return !upstreams_[at].leaves_since;
    };
    made.has_left = [this](key at)
    {
        return upstreams_[at].leaves_since.has_value();
    };
    made.reserve_resumption = [this](bool /*is_urgent*/)
    {
        return reserve();
    };
    made.memory_lifetime = memory_lifetime;
    return made;
}

std::optional<moved_generation::key> moved_generation::choose(std::span<key const> excluded)
{
    std::vector<key> fitting;
    for (auto const& [each, state] : upstreams_)
    {
        bool const is_excluded =
            std::find(excluded.begin(), excluded.end(), each) != excluded.end();
        if (!state.leaves_since && !is_excluded)
        {
            fitting.push_back(each);
        }
    }
    bool const is_crowded = fitting.empty() || chance(0.1);
    return is_crowded ? std::nullopt : std::optional{fitting[random_() % fitting.size()]};
}

bool moved_generation::may_resume_at(key at) const
{
    upstream const& asked = upstreams_.at(at);
    return !asked.leaves_since || now_ < *asked.leaves_since + new_notice;
}

bool moved_generation::reserve()
{
    if (!is_reserved_ && repeats_ > 0)
    {
        --repeats_;
        is_reserved_ = true;
    }
    return is_reserved_;
}

bool moved_generation::is_askable(key at) const
{
    upstream const& asked = upstreams_.at(at);
    return may_resume_at(at) && !asked.is_gone && asked.refuses_until <= now_ &&
           now_ < asked.holds_until;
}

void moved_generation::note_idle()
{
    bool const is_known_over = was_stopped_ && failover_.is_suspended() && !is_resuming_;
    bool const has_repeat = is_reserved_ || repeats_ > 0;
    bool const is_idle =
        is_known_over && has_repeat &&
        std::any_of(told_.begin(), told_.end(), [this](key each) { return is_askable(each); });
    if (!is_idle)
    {
        askable_since_.reset();
        return;
    }
    askable_since_ = askable_since_.value_or(now_);
    longest_idle_ = std::max(longest_idle_, now_ - *askable_since_);
}

// -- orders ---------------------------------------------------------------------------------------

void moved_generation::carry_out(order_copy const& order)
{
    after(round_trip / 2, [this, order, run = run_] { deliver(order, run); });
    bool const comes_twice = order.last && chance(0.05);
    if (comes_twice)
    {
        after(between(10ms, 3s), [this, order] { stop(order.source); });
    }
}

void moved_generation::deliver(order_copy const& order, std::uint64_t run)
{
    upstream& source = upstreams_[order.source];
    auto const refuse = [this](copy_refusal reason)
    {
        tell([this, reason](failover_actions& actions)
             { failover_.copy_refused(reason, {}, now_, actions); });
    };
    if (source.is_gone)
    {
        return refuse(copy_refusal::process_gone);
    }
    if (source.copies || !source.runs)
    {
        auto const reason =
            source.copies ? copy_refusal::in_progress : copy_refusal::unknown_generation;
        return answer(run, [refuse, reason] { refuse(reason); });
    }
    source.copies = true;
    if (order.last)
    {
        stop(order.source);
        source.holds_until = now_ + between(memory_lifetime, 2 * memory_lifetime);
    }
    after(chance(0.2) ? between(300ms, 4s) : between(10ms, 300ms),
          [this, order, run] { finish_copy(order, run); });
}

void moved_generation::stop(key at)
{
    if (upstreams_[at].runs)
    {
        ++stops_;
        was_stopped_ = true;
        end_run(at);
    }
}

void moved_generation::finish_copy(order_copy const& order, std::uint64_t run)
{
    bool const is_last = order.last;
    upstream& source = upstreams_[order.source];
    upstream& destination = upstreams_[order.destination];
    source.copies = false;
    bool const has_room = !destination.is_gone && chance(0.85);
    if (has_room)
    {
        destination.holds_until = now_ + between(memory_lifetime, 2 * memory_lifetime);
        issuers_[order.destination] = order.source;
    }
    if (is_last)
    {
        issuers_[order.source] = order.source;
    }
    answer(run,
           [this, order, is_last, has_room]
           {
               if (is_last)
               {
                   told_.insert(order.source);
               }
               if (has_room)
               {
                   told_.insert(order.destination);
                   return tell([this](failover_actions& actions)
                               { failover_.copied("h", now_, actions); });
               }
               tell(
                   [this, is_last](failover_actions& actions) {
                       failover_.copy_refused(copy_refusal::no_capacity, is_last ? "h" : "", now_,
                                              actions);
                   });
           });
}

// A lost answer shows at once, as by a reset, or not at all.
void moved_generation::answer(std::uint64_t run, std::function<void()> const& by)
{
    bool const is_lost = chance(0.15);
    bool const is_silent = is_lost && chance(0.5);
    if (is_silent)
    {
        return;
    }
    state::duration const way = chance(0.1) ? between(500ms, 5s) : round_trip / 2;
    after(way,
          [this, by, is_lost, run]
          {
              if (run != run_)
              {
                  return;
              }
              if (is_lost)
              {
                  return tell(
                      [this](failover_actions& actions)
                      { failover_.copy_refused(copy_refusal::unreachable, {}, now_, actions); });
              }
              by();
          });
}

// -- resumptions ----------------------------------------------------------------------------------

void moved_generation::carry_out(resume_generation const& resumption)
{
    is_open_ = false;
    if (!reserve())
    {
        return failover_.resume_postponed(now_);
    }
    is_resuming_ = true;
    after(round_trip / 2, [this, resumption] { send(resumption); });
}

void moved_generation::send(resume_generation const& resumption)
{
    upstream& asked = upstreams_[resumption.at];
    if (asked.is_gone || !may_resume_at(resumption.at))
    {
        is_resuming_ = false;
        return tell([this](failover_actions& actions) { failover_.resume_unsent(now_, actions); });
    }
    is_reserved_ = false;
    auto const issuer = issuers_.find(resumption.at);
    bool const is_unknown = issuer == issuers_.end() || issuer->second != resumption.holder;
    wrong_holders_ += is_unknown ? 1 : 0;
    bool const is_refused = is_unknown || now_ < asked.refuses_until || now_ >= asked.holds_until;
    if (is_refused)
    {
        is_resuming_ = false;
        return tell([this](failover_actions& actions) { failover_.resume_refused(now_, actions); });
    }
    asked.holds_until = {};
    begin_run(resumption.at);
}

void moved_generation::carry_out(abandon_generation const& /*abandon*/)
{
    bool const could_go_on =
        std::any_of(told_.begin(), told_.end(), [this](key each) { return is_askable(each); });
    result_ = could_go_on ? outcome::cut_unduly : outcome::cut;
}

} // namespace plumdale::test
