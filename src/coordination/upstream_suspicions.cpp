#include <plumdale/coordination/upstream_suspicions.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// What an upstream sent before its end may be read this long after it.
constexpr state::duration in_flight_time = std::chrono::milliseconds{50};

} // namespace

// -- findings -------------------------------------------------------------------------------------

void upstream_suspicions::note(state::member_key member, suspicion_kind kind, state::time_point now)
{
    kind == suspicion_kind::answered ? note_answer(member, now) : note_failure(member, kind, now);
}

void upstream_suspicions::note_failure(state::member_key member, suspicion_kind kind,
                                       state::time_point now)
{
    std::vector<state::member_key>& failed = failed_[zone_of(member)];
    bool const is_known = std::find(failed.begin(), failed.end(), member) != failed.end();
    if (!is_known && failed.size() < max_failed_in_zone)
    {
        failed.push_back(member);
    }
    record& to = record_of(member, now);
    if (kind == suspicion_kind::timed_out && ++to.own_timeouts < min_timeouts)
    {
        return;
    }
    add_finding(to, {self_, own_zone_, kind, now}, now);
    to.unreported = kind;
}

// Each event of a stream is an answer, so this is called thousands of times a second.
void upstream_suspicions::note_answer(state::member_key member, state::time_point now)
{
    if (!failed_.empty())
    {
        failed_.erase(zone_of(member));
    }
    auto const found = records_.find(member);
    if (found == records_.end())
    {
        return;
    }
    record& to = found->second;
    to.own_timeouts = 0;
    bool const may_be_late =
        std::any_of(to.findings.begin(), to.findings.end(),
                    [&](finding const& each)
                    { return counts(to, each, now) && now < each.at + in_flight_time; });
    if (may_be_late)
    {
        return;
    }
    bool const is_news = count_of(to, now) > 0;
    apply_answer(to, {self_, own_zone_}, zone_of(member), now);
    if (is_news)
    {
        to.unreported = suspicion_kind::answered;
    }
    else if (to.unreported != suspicion_kind::answered)
    {
        to.unreported.reset();
    }
}

void upstream_suspicions::apply_update(state::node_id peer, state::zone_id zone,
                                       std::span<suspicion_row const> rows, state::time_point now)
{
    for (suspicion_row const& row : rows)
    {
        state::time_point const at = now - row.age;
        bool const is_failure = row.kind != suspicion_kind::answered;
        auto const found = records_.find(row.member);
        bool const is_of_use = is_failure
                                   ? directory_.find(row.member) != nullptr && row.age < lifetime
                                   : found != records_.end();
        if (peer == self_ || !is_of_use)
        {
            continue;
        }
        if (is_failure)
        {
            record& to = record_of(row.member, now);
            add_finding(to, {peer, zone, row.kind, at}, now);
            to.reported_at = std::max(to.reported_at, at);
            continue;
        }
        apply_answer(found->second, {peer, zone}, zone_of(row.member), at);
        // The others have heard of the answer, too.
        if (found->second.unreported == suspicion_kind::answered)
        {
            found->second.unreported.reset();
        }
    }
}

void upstream_suspicions::add_finding(record& to, finding const& added, state::time_point now)
{
    to.news_at = std::max(to.news_at, added.at);
    if (count_of(to, now) == 0)
    {
        to.suspected_since = now;
    }
    auto const former = std::find_if(to.findings.begin(), to.findings.end(),
                                     [&](finding const& each) { return each.vm == added.vm; });
    if (former != to.findings.end())
    {
        *former = former->at < added.at ? added : *former;
        return;
    }
    if (to.findings.size() == max_findings)
    {
        to.findings.erase(std::min_element(to.findings.begin(), to.findings.end(),
                                           [](finding const& a, finding const& b)
                                           { return a.at < b.at; }));
    }
    to.findings.push_back(added);
}

// An answer elsewhere doesn't show that the own zone's path to another zone is open.
void upstream_suspicions::apply_answer(record& to, zoned_vm const& from, state::zone_id zone,
                                       state::time_point at)
{
    for (finding const& each : to.findings)
    {
        bool const is_refuted = each.kind == suspicion_kind::refused && each.vm != from.node &&
                                each.vm != self_ && counts(to, each, at) && each.at <= at &&
                                at - each.at < refutation_time;
        if (is_refuted)
        {
            distrust& by = distrusted_[each.vm];
            ++by.refuted;
            by.last_at = at;
        }
    }
    state::time_point& answered =
        is_near(from.zone, zone) || zone == own_zone_ ? to.answered_at : to.answered_elsewhere_at;
    answered = std::max(answered, at);
}

upstream_suspicions::record& upstream_suspicions::record_of(state::member_key member,
                                                            state::time_point now)
{
    auto const found = records_.find(member);
    if (found != records_.end())
    {
        return found->second;
    }
    if (records_.size() >= max_records)
    {
        records_.erase(std::min_element(records_.begin(), records_.end(),
                                        [](auto const& a, auto const& b)
                                        { return a.second.news_at < b.second.news_at; }));
    }
    record& added = records_[member];
    added.news_at = now;
    return added;
}

// -- weighing -------------------------------------------------------------------------------------

state::zone_id upstream_suspicions::zone_of(state::member_key member) const
{
    directory_entry const* const entry = directory_.find(member);
    return entry == nullptr ? state::zone_id{}
                            : state::id_from_name<state::zone_id>(entry->info.zone);
}

bool upstream_suspicions::is_near(state::zone_id from, state::zone_id upstream) const noexcept
{
    return from == own_zone_ || from == upstream;
}

bool upstream_suspicions::is_trusted(state::node_id vm, state::time_point now) const
{
    auto const found = distrusted_.find(vm);
    return found == distrusted_.end() || found->second.refuted < max_refuted ||
           now >= found->second.last_at + distrust_time;
}

bool upstream_suspicions::counts(record const& in, finding const& each, state::time_point now) const
{
    bool const is_answered = each.at <= in.answered_at ||
                             (each.zone != own_zone_ && each.at <= in.answered_elsewhere_at);
    return !is_answered && now < each.at + lifetime;
}

std::size_t upstream_suspicions::count_of(record const& in, state::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(in.findings.begin(), in.findings.end(),
                                                  [&](finding const& each)
                                                  { return counts(in, each, now); }));
}

// A cut of a zone by resets looks from outside like upstreams there that refuse, and from inside
// like all others. The VMs of the own zone know its upstreams best.
bool upstream_suspicions::is_suspected(record const& in, state::zone_id zone,
                                       state::time_point now) const
{
    std::size_t witnesses = 0;
    std::vector<state::zone_id> far_zones;
    for (finding const& each : in.findings)
    {
        if (!counts(in, each, now))
        {
            continue;
        }
        bool const is_proof = each.kind == suspicion_kind::refused && is_trusted(each.vm, now);
        if (is_near(each.zone, zone))
        {
            witnesses += is_proof ? min_witnesses : 1;
        }
        else if (is_proof &&
                 std::find(far_zones.begin(), far_zones.end(), each.zone) == far_zones.end())
        {
            far_zones.push_back(each.zone);
        }
    }
    bool const is_far_proof = zone != own_zone_ && far_zones.size() >= min_witnesses;
    return witnesses >= min_witnesses || is_far_proof;
}

bool upstream_suspicions::is_suspected(state::member_key member, state::time_point now) const
{
    auto const found = records_.find(member);
    return found != records_.end() && is_suspected(found->second, zone_of(member), now);
}

bool upstream_suspicions::is_path_doubtful(state::zone_id zone) const
{
    auto const found = failed_.find(zone);
    return found != failed_.end() && found->second.size() >= max_failed_in_zone;
}

// -- reports --------------------------------------------------------------------------------------

// Findings that wait for the own path to be sound again are sent with their age, or refuted.
std::vector<suspicion_row> upstream_suspicions::unreported(state::time_point now)
{
    std::vector<suspicion_row> rows;
    for (auto& [member, each] : records_)
    {
        if (!each.unreported || is_path_doubtful(zone_of(member)))
        {
            continue;
        }
        bool const is_answer = *each.unreported == suspicion_kind::answered;
        bool const is_known = !is_answer && now < each.reported_at + min_report_interval;
        state::time_point at = each.answered_at;
        for (finding const& own : each.findings)
        {
            at = !is_answer && own.vm == self_ ? own.at : at;
        }
        if (!is_known)
        {
            rows.push_back({member, *each.unreported, now - at});
            each.reported_at = is_answer ? each.reported_at : now;
        }
        each.unreported.reset();
    }
    return rows;
}

std::vector<suspicion_change> upstream_suspicions::take_changes(state::time_point now)
{
    std::vector<suspicion_change> changes;
    for (auto& [member, each] : records_)
    {
        bool const suspected = is_suspected(each, zone_of(member), now);
        if (suspected != each.is_logged)
        {
            each.is_logged = suspected;
            changes.push_back({member, suspected, count_of(each, now)});
        }
    }
    return changes;
}

// -- probes ---------------------------------------------------------------------------------------

std::size_t upstream_suspicions::rank_of_self(state::member_key member, state::zone_id zone,
                                              std::span<zoned_vm const> peers) const
{
    std::uint64_t const own = state::mix(self_.value, member.value);
    bool const is_home = own_zone_ == zone;
    std::size_t before = 0;
    for (zoned_vm const& peer : peers)
    {
        bool const is_peer_home = peer.zone == zone;
        bool const is_before = is_peer_home != is_home
                                   ? is_peer_home
                                   : state::mix(peer.node.value, member.value) > own;
        before += is_before ? 1 : 0;
    }
    return before;
}

// One finding that doesn't suffice is checked at once.
state::duration upstream_suspicions::probe_interval(record const& in, bool is_suspect,
                                                    state::time_point now) const
{
    if (!is_suspect)
    {
        return in.probed_at < in.suspected_since ? state::duration::zero() : min_probe_interval;
    }
    return std::clamp<state::duration>((now - in.suspected_since) / 2, min_probe_interval,
                                       max_probe_interval);
}

std::vector<state::member_key> upstream_suspicions::take_due_probes(std::span<zoned_vm const> peers,
                                                                    state::time_point now)
{
    std::vector<state::member_key> due;
    for (auto& [member, each] : records_)
    {
        state::zone_id const zone = zone_of(member);
        state::time_point const last = std::max(each.news_at, each.probed_at);
        state::time_point const first_due =
            last + probe_interval(each, is_suspected(each, zone, now), now);
        // Ranks take time in large fleets, so that they are compared only when somebody is due.
        bool const is_due =
            count_of(each, now) > 0 && now >= first_due &&
            now >= first_due + static_cast<std::int64_t>(rank_of_self(member, zone, peers)) *
                                   succession_delay;
        directory_entry const* const entry = is_due ? directory_.find(member) : nullptr;
        if (entry != nullptr && directory_.may_take_work(*entry, now))
        {
            each.probed_at = now;
            due.push_back(member);
        }
    }
    return due;
}

bool upstream_suspicions::take_probe_in_doubt(state::member_key member, state::time_point now)
{
    record& of = record_of(member, now);
    if (now < of.probed_at + min_probe_interval || is_suspected(member, now))
    {
        return false;
    }
    of.probed_at = now;
    return true;
}

// -- ends -----------------------------------------------------------------------------------------

void upstream_suspicions::path_failed(state::zone_id zone, state::time_point since)
{
    for (auto& [member, each] : records_)
    {
        if (zone_of(member) == zone)
        {
            std::erase_if(each.findings, [&](finding const& of)
                          { return of.zone == own_zone_ && of.at >= since; });
        }
    }
}

void upstream_suspicions::forget(state::member_key member)
{
    records_.erase(member);
}

void upstream_suspicions::sweep(state::time_point now)
{
    std::erase_if(records_, [&](auto const& each)
                  { return now >= each.second.news_at + lifetime && !each.second.is_logged; });
    std::erase_if(distrusted_,
                  [&](auto const& each) { return now >= each.second.last_at + distrust_time; });
}

} // namespace plumdale::coordination
