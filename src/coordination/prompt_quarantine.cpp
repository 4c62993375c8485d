#include <plumdale/coordination/prompt_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// -- sound parts ----------------------------------------------------------------------------------

void sound_parts::note(state::prompt_part part, state::time_point now)
{
    if (now >= rotated_at_ + retention || newer_.size() >= capacity)
    {
        older_ = std::move(newer_);
        newer_.clear();
        rotated_at_ = now;
    }
    newer_.insert(part);
}

bool sound_parts::contains(state::prompt_part part, state::time_point now) const
{
    bool const newer_counts = now < rotated_at_ + 2 * retention;
    bool const older_counts = now < rotated_at_ + retention;
    return (newer_counts && newer_.contains(part)) || (older_counts && older_.contains(part));
}

// -- evidence -------------------------------------------------------------------------------------

bool prompt_quarantine::upstream_crashed(part_list parts, state::request_digest request,
                                         state::member_key member, bool is_trial,
                                         state::time_point now)
{
    // A request with a refused part that was on its way as the part was found: its other parts
    // have not crashed the upstream.
    bool const is_accounted_for =
        std::any_of(parts.begin(), parts.end(), [this](auto part) { return is_refused(part); });
    bool is_new = false;
    for (state::prompt_part const part : parts)
    {
        bool const counts = is_accounted_for ? is_refused(part) : !sound_.contains(part, now);
        if (counts && add(part, {member, request, now, is_trial}, now))
        {
            is_new = true;
            report({part, member, request, {}, {}, is_trial}, now);
        }
    }
    return is_new;
}

// When a zone loses power, calls to all of its upstreams end at all VMs; reports on all of them
// would fill the links. Evidence that isn't reported still counts at this VM.
void prompt_quarantine::report(part_evidence const& evidence, state::time_point now)
{
    if (now >= report_window_start_ + std::chrono::seconds{1})
    {
        report_window_start_ = now;
        reported_in_window_ = 0;
    }
    if (++reported_in_window_ <= max_reports_per_second)
    {
        unreported_.push_back(evidence);
    }
}

bool prompt_quarantine::answered(part_list parts, state::time_point now)
{
    bool is_cleared = false;
    for (state::prompt_part const part : parts)
    {
        sound_.note(part, now);
        if (clear(part))
        {
            is_cleared = true;
            replies_.try_emplace(part, now);
        }
    }
    return is_cleared;
}

bool prompt_quarantine::apply_update(part_evidence const& reported, state::duration reply_delay,
                                     state::time_point now)
{
    bool const is_old =
        reported.crashed ? reported.idle >= lifetime : reported.age >= sound_parts::retention;
    if (is_old || !reported.part)
    {
        return false;
    }
    if (!reported.crashed)
    {
        replies_.erase(reported.part);
        sound_.note(reported.part, now);
        return clear(reported.part);
    }
    if (sound_.contains(reported.part, now))
    {
        // Hundreds of VMs may know the part: the first reply spares the others theirs.
        replies_.try_emplace(reported.part, now + reply_delay);
        return false;
    }
    return add(reported.part,
               {reported.crashed, reported.request, now - reported.age, reported.is_trial},
               now - reported.idle);
}

bool prompt_quarantine::add(state::prompt_part part, crash const& seen, state::time_point last_seen)
{
    if (!suspects_.contains(part) && suspects_.size() >= capacity)
    {
        evict_one();
    }
    suspect& row = suspects_[part];
    row.last_seen = std::max(row.last_seen, last_seen);
    auto const known =
        std::find_if(row.crashes.begin(), row.crashes.end(),
                     [&seen](crash const& each) { return each.member == seen.member; });
    if (known != row.crashes.end())
    {
        known->is_trial = known->is_trial || seen.is_trial;
        return false;
    }
    // Without its trials, a part would be tried on and on; and without a later crash, one whose
    // first requests crashed all at once would never be refused.
    if (row.crashes.size() >= max_crashes && !seen.is_trial)
    {
        if (refusable_since(row, {}))
        {
            return false;
        }
        row.crashes.pop_back();
    }
    auto const next = std::find_if(row.crashes.begin(), row.crashes.end(),
                                   [&seen](crash const& each) { return each.at > seen.at; });
    row.crashes.insert(next, seen);
    if (row.crashes.size() >= refusal_threshold)
    {
        refresh();
    }
    return true;
}

bool prompt_quarantine::clear(state::prompt_part part)
{
    auto const found = suspects_.find(part);
    if (found == suspects_.end())
    {
        return false;
    }
    bool const was_refusable = found->second.crashes.size() >= refusal_threshold;
    suspects_.erase(found);
    if (was_refusable)
    {
        refresh();
    }
    return true;
}

// Evicts the part with the fewest crashes, and among those the oldest.
void prompt_quarantine::evict_one()
{
    auto const victim =
        std::min_element(suspects_.begin(), suspects_.end(),
                         [](auto const& one, auto const& other)
                         {
                             return std::pair{one.second.crashes.size(), one.second.last_seen} <
                                    std::pair{other.second.crashes.size(), other.second.last_seen};
                         });
    clear(victim->first);
}

void prompt_quarantine::forget(state::time_point now)
{
    std::size_t const before = suspects_.size();
    std::erase_if(suspects_,
                  [now](auto const& each) { return now >= each.second.last_seen + lifetime; });
    if (suspects_.size() != before)
    {
        refresh();
    }
}

// -- decisions ------------------------------------------------------------------------------------

std::optional<state::time_point> prompt_quarantine::refusable_since(suspect const& row,
                                                                    member_set const& accounted)
{
    std::vector<crash> causes;
    for (crash const& each : row.crashes)
    {
        bool const is_same_request =
            std::any_of(causes.begin(), causes.end(),
                        [&each](crash const& other) { return other.request == each.request; });
        bool const is_same_cause =
            !causes.empty() && each.at < causes.back().at + common_cause_time;
        if (!is_same_request && !is_same_cause && !accounted.contains(each.member))
        {
            causes.push_back(each);
        }
    }
    return causes.size() < refusal_threshold ? std::nullopt
                                             : std::optional{causes[refusal_threshold - 1].at};
}

// Requests that ran beside a crashing one share some of its crashes: the part that explains most
// comes first, then the one that was refusable first. Parts that are even in both can't be told
// apart until one of them is answered, tried, or crashes alone.
void prompt_quarantine::refresh()
{
    struct candidate
    {
        state::prompt_part part;
        suspect* row = nullptr;
        state::time_point since{};
    };
    std::vector<candidate> candidates;
    for (auto& [part, row] : suspects_)
    {
        row.is_refused = false;
        if (auto const since = refusable_since(row, {}))
        {
            candidates.push_back({part, &row, *since});
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& one, candidate const& other)
              {
                  return std::pair{other.row->crashes.size(), one.since} <
                         std::pair{one.row->crashes.size(), other.since};
              });
    digest_ = 0;
    member_set accounted;
    for (auto next = candidates.begin(); next != candidates.end();)
    {
        candidate const first = *next;
        member_set of_group;
        for (; next != candidates.end() && next->row->crashes.size() == first.row->crashes.size() &&
               next->since < first.since + common_cause_time;
             ++next)
        {
            suspect& row = *next->row;
            row.is_refused = refusable_since(row, accounted).has_value();
            for (std::size_t i = 0; row.is_refused && i < row.crashes.size(); ++i)
            {
                of_group.insert(row.crashes[i].member);
            }
            digest_ ^= row.is_refused ? state::mix(next->part.value, row.crashes.size()) : 0;
        }
        accounted.merge(of_group);
    }
}

bool prompt_quarantine::is_any_unproven(part_list parts, state::time_point now) const
{
    return std::any_of(parts.begin(), parts.end(),
                       [this, now](auto part) { return !sound_.contains(part, now); });
}

bool prompt_quarantine::is_refused(state::prompt_part part) const
{
    auto const found = suspects_.find(part);
    return found != suspects_.end() && found->second.is_refused;
}

bool prompt_quarantine::refuses(part_list parts, state::time_point now)
{
    bool is_any_refused = false;
    for (state::prompt_part const part : parts)
    {
        if (is_refused(part))
        {
            is_any_refused = true;
            suspects_.find(part)->second.last_seen = now;
        }
    }
    return is_any_refused;
}

std::optional<state::time_point> prompt_quarantine::next_trial(suspect const& row)
{
    auto const trials = static_cast<std::size_t>(std::count_if(
        row.crashes.begin(), row.crashes.end(), [](crash const& each) { return each.is_trial; }));
    return trials < trial_delays.size()
               ? std::optional{std::max(row.crashes.back().at + trial_delays[trials],
                                        row.trial_ends)}
               : std::nullopt;
}

// The answer to a request with two refused parts would say nothing about either, as long as the
// other one may crash its upstream.
std::optional<state::prompt_part> prompt_quarantine::due_trial(part_list parts,
                                                               state::time_point now) const
{
    std::optional<state::prompt_part> found;
    for (state::prompt_part const part : parts)
    {
        if (!is_refused(part))
        {
            continue;
        }
        auto const due = next_trial(suspects_.find(part)->second);
        if (found || !due || now < *due)
        {
            return std::nullopt;
        }
        found = part;
    }
    return found;
}

void prompt_quarantine::begin_trial(state::prompt_part part, state::duration time,
                                    state::time_point now)
{
    if (auto const found = suspects_.find(part); found != suspects_.end())
    {
        found->second.trial_ends = now + time;
    }
}

void prompt_quarantine::end_trial(state::prompt_part part, state::time_point now)
{
    begin_trial(part, state::duration::zero(), now);
}

state::duration prompt_quarantine::refused_for(part_list parts, state::time_point now) const
{
    state::duration longest{};
    for (state::prompt_part const part : parts)
    {
        if (is_refused(part))
        {
            auto const due = next_trial(suspects_.find(part)->second);
            state::duration const wait =
                due ? std::max(trial_delays.front(), *due - now) : lifetime;
            longest = std::max(longest, wait);
        }
    }
    return longest;
}

bool prompt_quarantine::accounts_for(std::span<state::member_key const> members) const
{
    std::unordered_set<state::member_key> crashed;
    for (auto const& [part, row] : suspects_)
    {
        for (std::size_t i = 0; row.is_refused && i < row.crashes.size(); ++i)
        {
            crashed.insert(row.crashes[i].member);
        }
    }
    return std::all_of(members.begin(), members.end(),
                       [&crashed](auto member) { return crashed.contains(member); });
}

std::size_t prompt_quarantine::crash_count(state::prompt_part part) const
{
    auto const found = suspects_.find(part);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
}

std::size_t prompt_quarantine::refused_count() const
{
    return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(),
                                                  [](auto const& each)
                                                  { return each.second.is_refused; }));
}

state::node_id choose_trial_vm(state::prompt_part part, std::span<state::node_id const> live)
{
    auto const weight = [part](state::node_id node)
    {
        return state::mix(part.value, node.value);
    };
    auto const chosen = std::max_element(live.begin(), live.end(),
                                         [&weight](state::node_id one, state::node_id other)
                                         { return weight(one) < weight(other); });
    return chosen == live.end() ? state::node_id{} : *chosen;
}

// -- reporting ------------------------------------------------------------------------------------

std::vector<part_evidence> prompt_quarantine::unreported(state::time_point now)
{
    std::vector<part_evidence> found = std::exchange(unreported_, {});
    for (auto next = replies_.begin(); next != replies_.end();)
    {
        if (now < next->second)
        {
            ++next;
            continue;
        }
        found.push_back({next->first, {}, {}, {}, {}, false});
        next = replies_.erase(next);
    }
    return found;
}

std::vector<part_evidence> prompt_quarantine::evidence(std::size_t max_count,
                                                       state::time_point now) const
{
    std::vector<part_evidence> found;
    for (auto const& [part, row] : suspects_)
    {
        bool const fits = row.is_refused && found.size() + row.crashes.size() <= max_count;
        for (std::size_t i = 0; fits && i < row.crashes.size(); ++i)
        {
            crash const& each = row.crashes[i];
            found.push_back({part, each.member, each.request, now - each.at, now - row.last_seen,
                             each.is_trial});
        }
    }
    return found;
}

} // namespace plumdale::coordination
