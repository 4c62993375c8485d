#include "boot_clock.hpp"
#include "forward_core.hpp"
#include "milliseconds.hpp"

#include <plumdale/coordination/start_check.hpp>
#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <chrono>

// What a forwarding entry VM learns of upstreams and zones; forward_core.cpp has the rest.

namespace plumdale::transport
{
namespace
{

using coordination::directory_change;

constexpr std::string_view part = "directory";

[[nodiscard]] bool is_impossible_start(state::incarnation started)
{
    auto const unix_time = std::chrono::system_clock::now().time_since_epoch();
    return coordination::is_impossible_start(
        started, std::chrono::duration_cast<std::chrono::milliseconds>(unix_time));
}

} // namespace

// -- upstreams ------------------------------------------------------------------------------------

void forward_core::apply_member(state::service_member const& member, std::string_view source)
{
    state::time_point const now = boot_now();
    auto const former = directory.latest(member.name);
    directory_change const change = directory.merge(member, now);
    auto const latest = directory.latest(member.name);
    if (former && latest && *former != *latest)
    {
        on_member_restarted(*former, *latest, source);
    }
    if (change != directory_change::none && latest)
    {
        on_member_changed(change, *latest, source);
    }
}

void forward_core::on_member_changed(directory_change change, state::member_key member,
                                     std::string_view source)
{
    coordination::directory_entry const* const entry = directory.find(member);
    change_log_.add(change, entry->info, source);
    unreported.push_back(entry->info);
    bool const departs = change == directory_change::removed || change == directory_change::leaving;
    bool const is_new_departure = departs && departures.record_departure(member);
    if (is_new_departure || change == directory_change::moved)
    {
        pool.drop(member);
    }
}

// Calls and memory are lost with the former incarnation, even while its connections stay open:
// those of a VM that lost power stay silent for as long as a caller waits.
void forward_core::on_member_restarted(state::member_key former, state::member_key latest,
                                       std::string_view source)
{
    coordination::directory_entry const* const entry = directory.find(former);
    bool const was_start_known = entry != nullptr && entry->info.started.value != 0;
    log.write(
        part, was_start_known ? "upstream started again" : "upstream's start learnt", {},
        {{"upstream", directory.find(latest)->info.name},
         {"started", static_cast<std::int64_t>(directory.find(latest)->info.started.value)},
         {"before", entry == nullptr ? 0 : static_cast<std::int64_t>(entry->info.started.value)},
         {"source", source}});
    pool.drop(former);
    health.forget(former);
    suspicions.forget(former);
    if (!was_start_known)
    {
        return;
    }
    bool const is_confirmed = directory.find(latest)->info.start_confirmed;
    auto const proof = coordination::run_ended::by(
        is_confirmed ? coordination::send_proof::restarted : coordination::send_proof::none);
    proof ? departures.notify_restart(former, *proof) : departures.ask_restart(former);
}

void forward_core::apply_reported_start(state::member_key member, state::incarnation started)
{
    coordination::directory_entry const* const entry = directory.find(member);
    if (entry == nullptr || is_impossible_start(started))
    {
        return;
    }
    state::service_member later = entry->info;
    later.started = started;
    later.start_confirmed = true;
    later.leaving = false;
    later.listed = true;
    std::uint64_t const before = directory.digest();
    apply_member(later, "report");
    note_directory_change(before);
}

void forward_core::apply_unusable_entries(std::span<protocol::unusable_entry const> entries,
                                          std::string_view source)
{
    std::uint64_t const before = directory.digest();
    for (protocol::unusable_entry const& each : entries)
    {
        apply_unusable_entry(each, source);
    }
    note_directory_change(before);
}

void forward_core::apply_unusable_entry(protocol::unusable_entry const& entry,
                                        std::string_view source)
{
    unreadable_log_.add(entry, source);
    if (!entry.name.empty())
    {
        state::service_member member;
        member.name = entry.name;
        member.revision = entry.revision;
        member.usable = false;
        apply_member(member, source);
    }
}

void forward_core::apply_members(std::span<state::service_member const> members,
                                 std::string_view source)
{
    std::uint64_t const before = directory.digest();
    for (state::service_member const& member : members)
    {
        is_impossible_start(member.started)
            ? apply_unusable_entry({member.name, member.revision, "start"}, source)
            : apply_member(member, source);
    }
    note_directory_change(before);
}

// Once for all rows of a message or list: peers are looked through, and a list has thousands.
void forward_core::note_directory_change(std::uint64_t former_digest)
{
    if (directory.digest() != former_digest)
    {
        fleet.directory_changed(directory.digest(), boot_now());
    }
}

void forward_core::apply_list_part(std::span<state::service_member const> members,
                                   std::span<protocol::unusable_entry const> unusable,
                                   std::string_view source)
{
    apply_members(members, source);
    apply_unusable_entries(unusable, source);
    coverage = std::max(coverage, list_coverage::partial);
}

void forward_core::mark_list_whole() noexcept
{
    coverage = list_coverage::whole;
    directory.mark_complete();
}

void forward_core::apply_list(std::span<state::service_member const> members,
                              std::span<protocol::unusable_entry const> unusable,
                              std::uint64_t revision, std::string_view source)
{
    apply_members(members, source);
    apply_unusable_entries(unusable, source);
    std::unordered_set<std::string_view> listed;
    for (state::service_member const& member : members)
    {
        listed.insert(member.name);
    }
    for (protocol::unusable_entry const& each : unusable)
    {
        listed.insert(each.name);
    }
    apply_members(directory.rows_missing_in(listed, revision), source);
    list_revision = std::max(list_revision, revision);
    mark_list_whole();
}

void forward_core::apply_statement(state::member_key member,
                                   protocol::upstream_statement const& statement)
{
    if (statement.leaves)
    {
        mark_leaving(member);
    }
    if (statement.retry_after)
    {
        begin_backoff(member, *statement.retry_after);
    }
    if (statement.cold_for)
    {
        directory.note_cold(member, *statement.cold_for, boot_now());
    }
    if (statement.refusal_limit)
    {
        refusal_limits.answered(member, statement.refusal_limit);
    }
    if (statement.request_limit)
    {
        limits.answered(member, statement.request_limit);
    }
}

// The platform's list lags, and may be out of reach for longer than a leaving upstream runs.
void forward_core::mark_leaving(state::member_key member)
{
    std::uint64_t const before = directory.digest();
    if (directory.mark_leaving(member, boot_now()) != directory_change::none)
    {
        metrics.add(forward_count::left_by_answer);
        on_member_changed(directory_change::leaving, member, "answer");
        note_directory_change(before);
    }
}

void forward_core::begin_backoff(state::member_key member, state::duration time)
{
    coordination::directory_entry const* const entry = directory.find(member);
    if (backoffs.requested(member, time, boot_now()))
    {
        metrics.add(forward_count::backoffs);
        log.write(part, "upstream backs off", {},
                  {{"upstream", entry == nullptr ? std::string_view{} : entry->info.name},
                   {"ms", whole_milliseconds(time)}});
    }
}

void forward_core::on_member_replaced(state::member_key member)
{
    directory.mark_replaced(member, boot_now());
    pool.drop(member);
    health.forget(member);
    suspicions.forget(member);
    log.write(part, "upstream replaced", {}, {{"member", static_cast<std::int64_t>(member.value)}});
}

void forward_core::flush_change_log(state::time_point now)
{
    change_log_.flush(directory.digest(), now);
    unreadable_log_.flush(now);
}

state::duration forward_core::platform_age(state::time_point now) const
{
    return now - std::max(last_platform_read, fleet.last_platform_read(now));
}

// -- evacuations ----------------------------------------------------------------------------------

// Messages carry zones as identifiers; their names are those of listed upstreams.
std::string forward_core::name_of(state::zone_id zone) const
{
    for (auto const& [key, entry] : directory.entries())
    {
        if (state::id_from_name<state::zone_id>(entry.info.zone) == zone)
        {
            return entry.info.zone;
        }
    }
    return std::to_string(zone.value);
}

void forward_core::report_evacuations(std::span<state::evacuation_change const> changes,
                                      std::string_view source)
{
    for (state::evacuation_change const& each : changes)
    {
        log.write("evacuation", each.revoked ? "taken back" : "in force", {},
                  {{"zone", name_of(each.order.zone)},
                   {"revision", static_cast<std::int64_t>(state::revision_in(each.order.revision))},
                   {"as_of", static_cast<std::int64_t>(
                                 state::revision_in(directory.evacuations().known().as_of))},
                   {"platform_age_ms", whole_milliseconds(platform_age(boot_now()))},
                   {"source", source}});
        if (!each.revoked)
        {
            departures.notify_evacuation(each.order.zone);
        }
    }
}

void forward_core::apply_evacuations(state::evacuations const& received, std::string_view source)
{
    report_evacuations(directory.evacuations().merge(received, boot_now()), source);
}

void forward_core::apply_evacuation_changes(
    std::span<protocol::evacuation_order const> received_orders, std::uint64_t as_of,
    std::string_view source)
{
    std::vector<state::evacuation_change> changes;
    for (protocol::evacuation_order const& each : received_orders)
    {
        changes.push_back(each.change);
    }
    report_evacuations(directory.evacuations().apply_changes(changes, as_of, boot_now()), source);
}

} // namespace plumdale::transport
