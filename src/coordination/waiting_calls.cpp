#include <plumdale/coordination/waiting_calls.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>

namespace plumdale::coordination
{
namespace
{

using seconds = std::chrono::duration<double>;

// A new observation's part of a running mean: some ten count.
constexpr double observation_weight = 0.1;
// While calls wait, rows are sent at least this far apart.
constexpr state::duration min_repeat_interval = std::chrono::milliseconds{500};
// A customer that asks for little still waits for the calls that are tried meanwhile.
constexpr double min_part_before = 0.2;
// Customers whose turns are remembered for a service.
constexpr std::size_t max_customers = 256;
// Ranks above this one are sent as it: rows hold a byte.
constexpr std::uint32_t max_sent_rank = std::numeric_limits<std::uint8_t>::max();

double mean_with(double mean, double observed) noexcept
{
    return mean + observation_weight * (observed - mean);
}

state::duration to_duration(double in_seconds) noexcept
{
    return std::chrono::duration_cast<state::duration>(seconds{in_seconds});
}

std::uint64_t turn_of(std::unordered_map<std::string, std::uint64_t> const& turns,
                      std::string const& customer)
{
    auto const found = turns.find(customer);
    return found == turns.end() ? 0 : found->second;
}

} // namespace

// -- calls at this VM -----------------------------------------------------------------------------

void waiting_calls::note_arrival(waiting_call const& call)
{
    std::deque<std::string>& arrivals = lines_[call.service].arrivals;
    arrivals.push_back(call.customer);
    if (arrivals.size() > remembered_arrivals)
    {
        arrivals.pop_front();
    }
}

std::optional<std::uint64_t> waiting_calls::push(waiting_call call, state::time_point now)
{
    line& target = lines_[call.service];
    if (target.entries.size() >= max_calls)
    {
        return std::nullopt;
    }
    target.entries.push_back({++last_id_, std::move(call), now});
    return last_id_;
}

void waiting_calls::remove(std::uint64_t id)
{
    for (auto& [service, each] : lines_)
    {
        std::erase_if(each.entries, [id](entry const& one) { return one.id == id; });
    }
}

void waiting_calls::remove_served(std::uint64_t id)
{
    entry const* const served = find(id);
    if (served == nullptr)
    {
        return;
    }
    line& from = lines_[served->call.service];
    if (from.customer_turns.size() >= max_customers)
    {
        from.customer_turns.clear();
    }
    from.customer_turns[served->call.customer] = ++from.turn;
    remove(id);
}

waiting_calls::line const* waiting_calls::find_line(state::service_key service) const
{
    auto const found = lines_.find(service);
    return found == lines_.end() ? nullptr : &found->second;
}

waiting_calls::entry const* waiting_calls::find(std::uint64_t id) const
{
    for (auto const& [service, each] : lines_)
    {
        auto const found = std::find_if(each.entries.begin(), each.entries.end(),
                                        [id](entry const& one) { return one.id == id; });
        if (found != each.entries.end())
        {
            return &*found;
        }
    }
    return nullptr;
}

// The most urgent rank, or in a lower rank's turn the lowest.
std::uint32_t waiting_calls::next_rank(line const& from)
{
    std::uint32_t first = std::numeric_limits<std::uint32_t>::max();
    std::uint32_t lowest = 0;
    for (entry const& each : from.entries)
    {
        first = std::min(first, each.call.rank);
        lowest = std::max(lowest, each.call.rank);
    }
    bool const is_lower_turn = from.turn % turns_per_lower_rank == turns_per_lower_rank - 1;
    return is_lower_turn ? lowest : first;
}

bool waiting_calls::goes_before(line const& in, entry const& one, entry const& other)
{
    if (one.call.rank != other.call.rank)
    {
        std::uint32_t const next = next_rank(in);
        bool const is_decided = one.call.rank == next || other.call.rank == next;
        return is_decided ? one.call.rank == next : one.call.rank < other.call.rank;
    }
    std::uint64_t const turn = turn_of(in.customer_turns, one.call.customer);
    std::uint64_t const other_turn = turn_of(in.customer_turns, other.call.customer);
    if (turn != other_turn)
    {
        return turn < other_turn;
    }
    return one.call.latest != other.call.latest ? one.call.latest < other.call.latest
                                                : one.id < other.id;
}

// Backfilling, as batch schedulers do it. A call that has waited for some time is likely to wait
// for as long again, so one that ends sooner gives back what it took in time; near the end of its
// slack a call is overtaken by nobody, and what becomes free is left for it.
bool waiting_calls::may_overtake(waiting_call const& call, entry const& other,
                                 state::time_point now)
{
    return call.run <= now - other.since && call.run <= other.call.latest - now;
}

bool waiting_calls::is_held_up(line const& in, entry const& asked, state::time_point now)
{
    return std::any_of(in.entries.begin(), in.entries.end(),
                       [&](entry const& each)
                       {
                           return each.id != asked.id && goes_before(in, each, asked) &&
                                  !may_overtake(asked.call, each, now);
                       });
}

bool waiting_calls::is_next(std::uint64_t id, state::time_point now) const
{
    entry const* const asked = find(id);
    return asked != nullptr && !is_held_up(lines_.at(asked->call.service), *asked, now);
}

bool waiting_calls::goes_after_own(waiting_call const& call, state::time_point now) const
{
    line const* const in = find_line(call.service);
    return in != nullptr && is_held_up(*in, {last_id_ + 1, call, now}, now);
}

std::size_t waiting_calls::own_calls(state::service_key service) const
{
    line const* const in = find_line(service);
    return in == nullptr ? 0 : in->entries.size();
}

// -- calls at peers -------------------------------------------------------------------------------

// Peers report how long the oldest call has waited; the others are taken as spread evenly over that
// time.
waiting_calls::calls_ahead waiting_calls::ahead_at_peers(waiting_call const& call,
                                                         state::duration waited,
                                                         state::time_point now) const
{
    calls_ahead ahead;
    for (auto const& [peer, each] : peers_)
    {
        state::duration const age = now - each.received;
        for (waiting_row const& row : each.rows)
        {
            bool const counts = age <= row_lifetime && row.service == call.service;
            if (counts && row.rank < call.rank)
            {
                ahead.more_urgent += row.calls;
            }
            state::duration const oldest = row.oldest + age;
            if (counts && row.rank == call.rank && oldest > waited)
            {
                ahead.older += row.calls * (1.0 - seconds{waited} / seconds{oldest});
            }
        }
    }
    return ahead;
}

// Peers report no customers, but callers of one reach all VMs alike. With turns between `k`
// customers, one that asks for less than a k-th waits for that much less than all.
double waiting_calls::part_before(waiting_call const& call) const
{
    line const* const in = find_line(call.service);
    if (in == nullptr || in->arrivals.empty())
    {
        return 1.0;
    }
    std::set<std::string_view> const customers{in->arrivals.begin(), in->arrivals.end()};
    auto const own = std::count(in->arrivals.begin(), in->arrivals.end(), call.customer);
    double const part = static_cast<double>(std::max<std::ptrdiff_t>(1, own)) /
                        static_cast<double>(in->arrivals.size());
    return std::clamp(part * static_cast<double>(customers.size()), min_part_before, 1.0);
}

// A call that ends before peers know of it takes nothing from those that wait there.
double waiting_calls::chance(waiting_call const& call, state::duration waited, std::size_t running,
                             state::time_point now) const
{
    if (call.run <= news_age)
    {
        return 1.0;
    }
    calls_ahead const ahead = ahead_at_peers(call, waited, now);
    double const by_rank =
        ahead.more_urgent == 0.0 ? 1.0 : 1.0 / static_cast<double>(turns_per_lower_rank);
    line const* const in = find_line(call.service);
    double const ends_in_news_age =
        in != nullptr && in->mean_held
            ? static_cast<double>(running) * (seconds{news_age} / seconds{*in->mean_held})
            : 1.0;
    double const by_age =
        std::max(1.0, ends_in_news_age) / std::max(1.0, ahead.older * part_before(call));
    double const share = std::min(1.0, by_age);
    // Squared, as those far behind would otherwise overtake by their number.
    return by_rank * share * share;
}

std::size_t waiting_calls::count_of(state::service_key service, state::time_point now) const
{
    line const* const in = find_line(service);
    std::size_t count = in == nullptr ? 0 : in->entries.size();
    for (auto const& [peer, each] : peers_)
    {
        for (waiting_row const& row : each.rows)
        {
            bool const counts = now - each.received <= row_lifetime && row.service == service;
            count += counts ? row.calls : 0;
        }
    }
    return count;
}

// Only the first call of a line is tried, so it examines upstreams for those behind it too.
std::size_t waiting_calls::candidates(state::service_key service, std::size_t upstreams,
                                      state::time_point now) const
{
    line const* const in = find_line(service);
    std::size_t const own = in == nullptr ? 1 : std::max<std::size_t>(1, in->entries.size());
    std::size_t const all = std::max(own, count_of(service, now));
    return std::clamp<std::size_t>(upstreams * own / all, 1, max_candidates);
}

std::size_t waiting_calls::place_of(waiting_call const& call, state::time_point now) const
{
    calls_ahead const peers = ahead_at_peers(call, state::duration::zero(), now);
    auto count = static_cast<std::size_t>(peers.more_urgent + peers.older);
    if (line const* const in = find_line(call.service))
    {
        count += static_cast<std::size_t>(std::count_if(in->entries.begin(), in->entries.end(),
                                                        [&call](entry const& each)
                                                        { return each.call.rank <= call.rank; }));
    }
    return count;
}

std::size_t waiting_calls::calls_before(waiting_call const& call,
                                        std::optional<std::uint64_t> id) const
{
    line const* const in = find_line(call.service);
    if (in == nullptr)
    {
        return 0;
    }
    // A call without a number is the newest.
    entry const asked{id.value_or(last_id_ + 1), call, {}};
    return static_cast<std::size_t>(std::count_if(in->entries.begin(), in->entries.end(),
                                                  [&](entry const& each) {
                                                      return each.id != asked.id &&
                                                             each.call.route == call.route &&
                                                             goes_before(*in, each, asked);
                                                  }));
}

bool waiting_calls::has_others(waiting_call const& call, std::optional<std::uint64_t> id) const
{
    line const* const in = find_line(call.service);
    return in != nullptr && std::any_of(in->entries.begin(), in->entries.end(),
                                        [&](entry const& each)
                                        { return each.id != id && each.call.route == call.route; });
}

void waiting_calls::note_held(state::service_key service, state::duration time)
{
    auto& mean = lines_[service].mean_held;
    mean = mean ? to_duration(mean_with(seconds{*mean}.count(), seconds{time}.count())) : time;
}

// -- messages -------------------------------------------------------------------------------------

std::vector<waiting_row> waiting_calls::own_rows(state::time_point now) const
{
    std::vector<waiting_row> rows;
    for (auto const& [service, each] : lines_)
    {
        std::map<std::uint8_t, waiting_row> by_rank;
        for (entry const& one : each.entries)
        {
            auto const rank = static_cast<std::uint8_t>(std::min(one.call.rank, max_sent_rank));
            waiting_row& row = by_rank[rank];
            row.service = service;
            row.rank = rank;
            ++row.calls;
            row.oldest = std::max(row.oldest, now - one.since);
        }
        for (auto const& [rank, row] : by_rank)
        {
            rows.push_back(row);
        }
    }
    return rows;
}

void waiting_calls::apply_update(state::node_id peer, std::span<waiting_row const> rows,
                                 state::time_point now)
{
    if (rows.empty())
    {
        peers_.erase(peer);
        return;
    }
    peers_[peer] = {{rows.begin(), rows.end()}, now};
}

bool waiting_calls::take_announcement(std::size_t peers, state::time_point now)
{
    bool const has_any = size() != 0;
    state::duration const interval =
        static_cast<std::int64_t>(peers) * announcement_interval_per_peer;
    bool const is_change = has_any != announced_any_ && now >= announced_at_ + interval;
    bool const is_repeat =
        has_any && now >= announced_at_ + std::max(interval, min_repeat_interval);
    if (!is_change && !is_repeat)
    {
        return false;
    }
    announced_any_ = has_any;
    announced_at_ = now;
    return true;
}

void waiting_calls::forget_old(state::time_point now)
{
    std::erase_if(peers_,
                  [now](auto const& each) { return now - each.second.received > row_lifetime; });
}

std::size_t waiting_calls::size() const noexcept
{
    std::size_t sum = 0;
    for (auto const& [service, each] : lines_)
    {
        sum += each.entries.size();
    }
    return sum;
}

} // namespace plumdale::coordination
