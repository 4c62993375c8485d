#include <plumdale/coordination/upstream_speeds.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr double thousandths = 1'000.0;
constexpr double tenths = 10.0;
// Rows below this weight are neither sent nor kept.
constexpr double negligible_weight = 0.1;

double log_of(double ratio)
{
    return std::log(
        std::clamp(ratio, 1.0 / upstream_speeds::max_ratio, upstream_speeds::max_ratio));
}

double aged(double weight, state::duration age, state::duration memory)
{
    return weight *
           std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(memory));
}

bool is_outside(double deviation, double ratio)
{
    return std::abs(deviation) > std::log(ratio);
}

// Observations scatter, so upstreams near the middle count as equal to it.
double beyond(double deviation, double ratio)
{
    return is_outside(deviation, ratio) ? deviation : 0.0;
}

bool agree(double one, double other)
{
    return one * other > 0.0 && is_outside(one, upstream_speeds::agreeing_ratio) &&
           is_outside(other, upstream_speeds::agreeing_ratio);
}

} // namespace

// -- own observations -----------------------------------------------------------------------------

void upstream_speeds::recent_observations::add(observation value) noexcept
{
    double const before = quantile();
    std::rotate(values.begin(), values.end() - 1, values.end());
    values.front() = value;
    count = std::min(count + 1, values.size());
    bool const is_change = count > change_count && has_left(before);
    count = is_change ? change_count : count;
}

double upstream_speeds::recent_observations::quantile() const noexcept
{
    std::array<double, kept_observations> sorted{};
    auto const end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    std::transform(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(count),
                   sorted.begin(), [](observation const& each) { return each.log_ratio; });
    auto const at = sorted.begin() +
                    static_cast<std::ptrdiff_t>(reported_quantile * static_cast<double>(count));
    std::nth_element(sorted.begin(), at, end);
    return count == 0 ? 0.0 : *at;
}

bool upstream_speeds::recent_observations::has_left(double log_ratio) const noexcept
{
    auto const end = values.begin() + change_count;
    auto const differs = [log_ratio](double side)
    {
        return [log_ratio, side](observation const& each)
        {
            return side * (each.log_ratio - log_ratio) > std::log(change_ratio);
        };
    };
    return std::all_of(values.begin(), end, differs(1.0)) ||
           std::all_of(values.begin(), end, differs(-1.0));
}

double upstream_speeds::recent_observations::weight(state::duration memory,
                                                    state::time_point now) const noexcept
{
    double sum = 0.0;
    for (std::size_t i = 0; i < count; ++i)
    {
        sum += aged(1.0, now - values[i].at, memory);
    }
    return sum;
}

state::time_point upstream_speeds::recent_observations::newest() const noexcept
{
    return count == 0 ? state::time_point{} : values.front().at;
}

void upstream_speeds::note(recent_observations& into, double ratio, state::time_point now)
{
    into.add({log_of(ratio), now});
}

void upstream_speeds::note_first_event(state::member_key member, double ratio,
                                       state::time_point now)
{
    note(own_[member].prefill, ratio, now);
}

void upstream_speeds::note_pace(state::member_key member, double ratio, state::time_point now)
{
    note(own_[member].pace, ratio, now);
}

// -- rows -----------------------------------------------------------------------------------------

speed_row upstream_speeds::row_of(state::member_key member, own_speed const& own,
                                  state::time_point now) const
{
    auto const in_tenths = [](double weight)
    {
        return static_cast<std::uint16_t>(std::lround(tenths * weight));
    };
    auto const in_thousandths = [](double log_ratio)
    {
        return static_cast<std::int16_t>(std::lround(thousandths * log_ratio));
    };
    return {member, in_thousandths(own.prefill.quantile()),
            in_tenths(own.prefill.weight(first_event_memory, now)),
            in_thousandths(own.pace.quantile()), in_tenths(own.pace.weight(pace_memory, now))};
}

std::vector<speed_row> upstream_speeds::own_rows(std::size_t max_count, state::time_point now) const
{
    struct dated_row
    {
        state::time_point newest;
        speed_row row;
    };
    std::vector<dated_row> found;
    for (auto const& [member, own] : own_)
    {
        speed_row const row = row_of(member, own, now);
        if (row.prefill_weight != 0 || row.pace_weight != 0)
        {
            found.push_back({std::max(own.prefill.newest(), own.pace.newest()), row});
        }
    }
    std::sort(found.begin(), found.end(),
              [](dated_row const& one, dated_row const& other)
              { return one.newest > other.newest; });
    std::vector<speed_row> rows;
    for (std::size_t i = 0; i < std::min(found.size(), max_count); ++i)
    {
        rows.push_back(found[i].row);
    }
    return rows;
}

void upstream_speeds::apply_update(state::node_id peer, std::span<speed_row const> rows,
                                   state::time_point now)
{
    has_peers_ = has_peers_ || !rows.empty();
    for (speed_row const& row : rows)
    {
        std::vector<peer_row>& known = peers_[row.member];
        auto const found = std::find_if(known.begin(), known.end(),
                                        [peer](peer_row const& each) { return each.peer == peer; });
        if (found == known.end())
        {
            known.push_back({peer, row, now});
        }
        else
        {
            *found = {peer, row, now};
        }
    }
}

// Rows of peers that died or fell silent lose their weight like any others.
void upstream_speeds::sweep(state::time_point now)
{
    auto const is_stale = [now](double prefill_weight, double pace_weight, state::duration age)
    {
        return aged(prefill_weight, age, first_event_memory) < negligible_weight &&
               aged(pace_weight, age, pace_memory) < negligible_weight;
    };
    std::erase_if(own_,
                  [&](auto const& each)
                  {
                      return is_stale(each.second.prefill.weight(first_event_memory, now),
                                      each.second.pace.weight(pace_memory, now), {});
                  });
    for (auto& [member, rows] : peers_)
    {
        std::erase_if(rows,
                      [&](peer_row const& each)
                      {
                          return is_stale(each.row.prefill_weight / tenths,
                                          each.row.pace_weight / tenths, now - each.received_at);
                      });
    }
    std::erase_if(peers_, [](auto const& each) { return each.second.empty(); });
    std::erase_if(estimates_, [now](auto const& each)
                  { return each.second.known_at + 2 * class_lifetime < now; });
}

// -- estimates ------------------------------------------------------------------------------------

std::vector<upstream_speeds::sample>
upstream_speeds::samples_of(state::member_key member, speed_kind kind, state::time_point now) const
{
    bool const is_pace = kind == speed_kind::pace;
    state::duration const memory = is_pace ? pace_memory : first_event_memory;
    std::vector<sample> samples;
    auto const add = [&samples](double log_ratio, double weight)
    {
        if (weight >= negligible_weight)
        {
            samples.push_back({log_ratio, std::min<double>(weight, kept_observations)});
        }
    };
    if (auto const own = own_.find(member); own != own_.end())
    {
        recent_observations const& seen = is_pace ? own->second.pace : own->second.prefill;
        add(seen.quantile(), seen.weight(memory, now));
    }
    if (auto const peers = peers_.find(member); peers != peers_.end())
    {
        for (peer_row const& each : peers->second)
        {
            double const weight = (is_pace ? each.row.pace_weight : each.row.prefill_weight);
            double const log_ratio = (is_pace ? each.row.pace : each.row.prefill) / thousandths;
            double const bound = std::log(max_ratio);
            add(std::clamp(log_ratio, -bound, bound),
                aged(weight / tenths, now - each.received_at, memory));
        }
    }
    return samples;
}

// The weighted median of the entry VMs' paces, the lower one of two: a VM with a slow processor or
// link, or one that lies, is outvoted by two others. Most VMs have seen a single first event, which
// a pause may have held up, so of these a lower quantile counts.
std::optional<double> upstream_speeds::measure(state::member_key member, speed_kind kind,
                                               state::time_point now) const
{
    bool const is_pace = kind == speed_kind::pace;
    std::vector<sample> samples = samples_of(member, kind, now);
    double observed = 0.0;
    double total = 0.0;
    for (sample& each : samples)
    {
        observed += each.weight;
        each.weight = std::min(each.weight, max_vm_weight);
        total += each.weight;
    }
    bool const is_enough = observed >= (is_pace ? min_pace_weight : min_first_event_weight) &&
                           samples.size() >= (has_peers_ ? min_observers : 1);
    if (!is_enough)
    {
        return std::nullopt;
    }
    std::sort(samples.begin(), samples.end(),
              [](sample const& one, sample const& other)
              { return one.log_ratio < other.log_ratio; });
    double const wanted = total * (is_pace ? 0.5 : reported_quantile);
    double below = 0.0;
    auto const found = std::find_if(samples.begin(), samples.end(),
                                    [&below, wanted](sample const& each)
                                    {
                                        below += each.weight;
                                        return below >= wanted;
                                    });
    return found == samples.end() ? samples.back().log_ratio : found->log_ratio;
}

std::optional<double> upstream_speeds::middle_of(std::span<measured_speed const> speeds,
                                                 std::optional<double> measured_speed::*kind)
{
    std::vector<double> known;
    for (measured_speed const& each : speeds)
    {
        if (each.*kind)
        {
            known.push_back(*(each.*kind));
        }
    }
    if (known.empty())
    {
        return std::nullopt;
    }
    auto const middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

// An engine reads prompts in the steps that also generate tokens, so where it reads slowly it
// generates slowly as well. First events that are late while the pace is as usual waited for
// prompts that this VM didn't know of. Where one kind has no observations the other one stands for
// it.
upstream_speeds::deviations upstream_speeds::deviations_of(measured_speed const& speed,
                                                           measured_speed const& middle)
{
    std::optional<double> const prefill =
        speed.prefill ? std::optional{*speed.prefill - *middle.prefill} : std::nullopt;
    if (!speed.pace)
    {
        return {prefill.value_or(0.0), prefill.value_or(0.0)};
    }
    double const pace = *speed.pace - *middle.pace;
    return {prefill && agree(*prefill, pace) ? *prefill : pace, pace};
}

void upstream_speeds::classify(estimate_state& state, measured_speed const& speed,
                               measured_speed const& middle, state::time_point now) const
{
    if (speed.prefill || speed.pace)
    {
        deviations const found = deviations_of(speed, middle);
        double const ratio = state.is_slow ? recovered_ratio : equal_ratio;
        state.deviation = {beyond(found.prefill, ratio), beyond(found.pace, ratio)};
        state.is_slow = std::max(state.deviation.prefill, state.deviation.pace) > 0.0;
        state.known_at = now;
    }
    else if (state.known_at + class_lifetime < now)
    {
        state = {};
    }
    state.factors.is_known = state.known_at != state::time_point{};
}

std::vector<speed_change> upstream_speeds::estimate(std::span<state::member_key const> members,
                                                    state::time_point now)
{
    std::vector<measured_speed> speeds;
    for (state::member_key const member : members)
    {
        speeds.push_back(
            {measure(member, speed_kind::prefill, now), measure(member, speed_kind::pace, now)});
    }
    measured_speed const middle{middle_of(speeds, &measured_speed::prefill),
                                middle_of(speeds, &measured_speed::pace)};
    std::vector<speed_change> changes;
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        estimate_state& each = estimates_[members[i]];
        bool const was_slow = each.is_slow;
        classify(each, speeds[i], middle, now);
        if (each.is_slow != was_slow)
        {
            changes.push_back({members[i], each.is_slow, {}});
        }
    }
    set_factors(members, middle);
    for (speed_change& each : changes)
    {
        each.factors = factors(each.member);
    }
    return changes;
}

void upstream_speeds::set_factors(std::span<state::member_key const> members,
                                  measured_speed const& middle)
{
    std::size_t known = 0;
    std::size_t differing = 0;
    for (state::member_key const member : members)
    {
        estimate_state const& each = estimates_[member];
        known += each.factors.is_known ? 1 : 0;
        differing += each.deviation.prefill != 0.0 || each.deviation.pace != 0.0 ? 1 : 0;
    }
    bool const is_absolute =
        static_cast<double>(differing) >= uneven_share * static_cast<double>(known);
    double const prefill = is_absolute ? middle.prefill.value_or(0.0) : 0.0;
    double const pace = is_absolute ? middle.pace.value_or(0.0) : 0.0;
    for (state::member_key const member : members)
    {
        estimate_state& each = estimates_[member];
        bool const is_known = each.factors.is_known;
        each.factors = differing == 0
                           ? speed_factors{1.0, 1.0, is_known, false}
                           : speed_factors{std::exp(prefill + each.deviation.prefill),
                                           std::exp(pace + each.deviation.pace), is_known, true};
    }
}

speed_factors upstream_speeds::factors(state::member_key member) const
{
    auto const found = estimates_.find(member);
    return found == estimates_.end() ? speed_factors{} : found->second.factors;
}

std::size_t upstream_speeds::known_count() const noexcept
{
    return static_cast<std::size_t>(std::count_if(estimates_.begin(), estimates_.end(),
                                                  [](auto const& each)
                                                  { return each.second.factors.is_known; }));
}

std::size_t upstream_speeds::slow_count() const noexcept
{
    return static_cast<std::size_t>(std::count_if(estimates_.begin(), estimates_.end(),
                                                  [](auto const& each)
                                                  { return each.second.is_slow; }));
}

} // namespace plumdale::coordination
