#include <plumdale/coordination/zone_reach.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// -- observations ---------------------------------------------------------------------------------

void zone_reach::connected(state::zone_id zone, state::time_point now)
{
    if (zone == own_zone_)
    {
        return;
    }
    zone_state& of = zones_[zone];
    of.reached_at = now;
    of.failed.clear();
    of.is_held = false;
}

void zone_reach::connection_failed(state::zone_id zone, state::member_key member,
                                   state::time_point now)
{
    if (zone == own_zone_)
    {
        return;
    }
    std::vector<attempt>& failed = zones_[zone].failed;
    std::erase_if(failed, [&](attempt const& each)
                  { return each.member == member || now >= each.at + evidence_lifetime; });
    if (failed.size() < max_attempts)
    {
        failed.push_back({member, now});
    }
}

void zone_reach::connecting(state::zone_id zone, state::member_key member, state::time_point now)
{
    if (zone == own_zone_)
    {
        return;
    }
    std::vector<attempt>& open = zones_[zone].connecting;
    if (open.size() < max_attempts)
    {
        open.push_back({member, now});
    }
}

void zone_reach::connecting_ended(state::zone_id zone, state::member_key member)
{
    auto const found = zones_.find(zone);
    if (found == zones_.end())
    {
        return;
    }
    std::vector<attempt>& open = found->second.connecting;
    auto const ended = std::find_if(open.begin(), open.end(),
                                    [&](attempt const& each) { return each.member == member; });
    if (ended != open.end())
    {
        open.erase(ended);
    }
}

void zone_reach::apply_update(state::node_id peer, state::zone_id peer_zone,
                              std::span<zone_reach_row const> rows, state::time_point now)
{
    if (peer_zone != own_zone_)
    {
        return;
    }
    for (zone_reach_row const& row : rows)
    {
        if (row.zone == own_zone_)
        {
            continue;
        }
        zone_state& of = zones_[row.zone];
        state::time_point const at = now - row.age;
        statement& said = of.said[peer];
        if (said.at <= at)
        {
            said = {row.is_reached, at};
        }
        if (row.is_reached)
        {
            of.peers_reached_at = std::max(of.peers_reached_at, at);
            of.is_held = false;
        }
    }
}

// -- conclusions ----------------------------------------------------------------------------------

zone_reach::evidence zone_reach::evidence_of(zone_state const& zone, state::time_point now)
{
    evidence sum;
    std::vector<state::member_key> members;
    state::time_point const reached = std::max(zone.reached_at, zone.peers_reached_at);
    auto const add = [&](attempt const& each)
    {
        sum.first_at = std::min(sum.first_at, each.at);
        if (std::find(members.begin(), members.end(), each.member) == members.end())
        {
            members.push_back(each.member);
        }
    };
    for (attempt const& each : zone.failed)
    {
        if (each.at > reached && now < each.at + evidence_lifetime)
        {
            add(each);
        }
    }
    for (attempt const& each : zone.connecting)
    {
        if (each.at > reached && now >= each.at + silence_time)
        {
            add(each);
        }
    }
    sum.upstreams = members.size();
    for (auto const& [peer, said] : zone.said)
    {
        bool const counts =
            !said.is_reached && said.at > reached && now < said.at + evidence_lifetime;
        sum.peers += counts ? 1 : 0;
    }
    return sum;
}

// What showed a cut ages and is replaced by younger failures. The decision lasts meanwhile: it ends
// with an answer, or when nothing speaks for it any more.
bool zone_reach::is_cut(zone_state const& zone, state::time_point now)
{
    evidence const found = evidence_of(zone, now);
    if (zone.is_held && (found.upstreams > 0 || found.peers > 0))
    {
        return true;
    }
    bool const had_time = found.upstreams > 0 && now >= found.first_at + doubt_time;
    return (found.upstreams >= min_failed && had_time) ||
           (found.upstreams > 0 && found.peers > 0) || found.peers > 1;
}

bool zone_reach::is_cut(state::zone_id zone, state::time_point now) const
{
    auto const found = zones_.find(zone);
    return found != zones_.end() && is_cut(found->second, now);
}

bool zone_reach::is_any_cut(state::time_point now) const
{
    return std::any_of(zones_.begin(), zones_.end(),
                       [now](auto const& each) { return is_cut(each.second, now); });
}

std::vector<state::zone_id> zone_reach::cut(state::time_point now) const
{
    std::vector<state::zone_id> found;
    for (auto const& [zone, of] : zones_)
    {
        if (is_cut(of, now))
        {
            found.push_back(zone);
        }
    }
    return found;
}

bool zone_reach::is_in_doubt(zone_state const& zone, state::time_point now)
{
    evidence const found = evidence_of(zone, now);
    bool const is_waiting =
        std::any_of(zone.connecting.begin(), zone.connecting.end(),
                    [&](attempt const& each)
                    { return each.at > zone.reached_at && now >= each.at + doubt_time; });
    return is_waiting || found.upstreams > 0 || found.peers > 0;
}

// -- messages and probes --------------------------------------------------------------------------

// A peer that says that a zone is cut is contradicted by one that reached the zone since.
std::vector<zone_reach_row> zone_reach::unreported(state::time_point now)
{
    std::vector<zone_reach_row> rows;
    for (auto& known : zones_)
    {
        state::zone_id const zone = known.first;
        zone_state& of = known.second;
        evidence const found = evidence_of(of, now);
        bool const fails =
            found.upstreams >= min_failed_to_report && now >= found.first_at + doubt_time;
        bool const is_contradicted =
            of.reached_at > of.peers_reached_at &&
            (of.reported == false ||
             std::any_of(of.said.begin(), of.said.end(),
                         [&](auto const& each)
                         {
                             return !each.second.is_reached && each.second.at < of.reached_at &&
                                    now < each.second.at + evidence_lifetime;
                         }));
        bool const is_due = now >= of.reported_at + report_interval;
        if (fails && (of.reported != false || is_due))
        {
            rows.push_back({zone, false, {}});
            of.reported = false;
            of.reported_at = now;
        }
        else if (!fails && is_contradicted && (of.reported != true || is_due))
        {
            rows.push_back({zone, true, now - of.reached_at});
            of.reported = true;
            of.reported_at = now;
        }
    }
    return rows;
}

std::vector<zone_probes> zone_reach::take_due_probes(std::size_t vms, state::time_point now)
{
    std::vector<zone_probes> due;
    for (auto& [zone, of] : zones_)
    {
        bool const cut = is_cut(of, now) || of.cut_since != state::never;
        state::duration const interval =
            cut ? std::max<state::duration>(min_probe_interval,
                                            static_cast<std::int64_t>(vms) * probe_interval_per_vm)
                : min_probe_interval;
        if ((cut || is_in_doubt(of, now)) && now >= of.probed_at + interval)
        {
            of.probed_at = now;
            due.push_back({zone, cut ? 1 : probes_in_doubt});
        }
    }
    return due;
}

std::vector<zone_change> zone_reach::take_changes(state::time_point now)
{
    std::vector<zone_change> changes;
    for (auto& [zone, of] : zones_)
    {
        bool const cut = is_cut(of, now);
        of.is_held = cut;
        if (cut == (of.cut_since != state::never))
        {
            continue;
        }
        changes.push_back({zone, cut, cut ? now : of.cut_since});
        of.cut_since = cut ? now : state::never;
    }
    return changes;
}

void zone_reach::advance(state::time_point now)
{
    bool const was_paused = now > advanced_at_ + max_pause;
    advanced_at_ = now;
    for (auto& [zone, of] : zones_)
    {
        std::erase_if(of.said, [now](auto const& each)
                      { return now >= each.second.at + evidence_lifetime; });
        // What showed a cut before the pause still does: the first answer ends it.
        if (!was_paused || of.is_held)
        {
            continue;
        }
        for (attempt& each : of.connecting)
        {
            each.at = now;
        }
    }
}

} // namespace plumdale::coordination
