#include "forward_core.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/state/store_position.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using coordination::directory_change;

constexpr std::string_view part = "directory";

// One that has just started hears within this time who reads the store; the seeds, whom all others
// ask first, are the first to volunteer.
constexpr state::duration seed_patience = std::chrono::milliseconds{500};
constexpr state::duration start_patience = std::chrono::milliseconds{1'500};

bool names_itself(protocol::forward_settings const& settings)
{
    return std::find(settings.seeds.begin(), settings.seeds.end(), settings.datagrams) !=
           settings.seeds.end();
}

std::random_device::result_type random_seed()
{
    std::random_device device;
    return device();
}

} // namespace

forward_core::forward_core(net::io_context& loop, protocol::forward_settings const& chosen,
                           protocol::dialect const& words, decision_log& lines)
    : context{loop}, settings{chosen}, dialect{words}, log{lines},
      self{state::named<state::node_id>(protocol::to_text(chosen.datagrams))}, is_seed{names_itself(
                                                                                   chosen)},
      random{random_seed()}, fleet{self, boot_now() + (is_seed ? seed_patience : start_patience)},
      cold{fleet, self, boot_now()}, limits{fleet, self, directory, lines},
      choice{directory, ledger, health, cold, limits.known(), settings.zone, random},
      quarantine{lines, metrics}, orders{loop}, departures{loop,
                                                           words,
                                                           directory,
                                                           ledger,
                                                           lines,
                                                           [this](state::member_key member,
                                                                  state::incarnation started)
                                                           {
                                                               note_start(member, started);
                                                           }},
      changes_{lines}
{
}

// -- configuration --------------------------------------------------------------------------------

bool forward_core::take_configuration(std::string text, std::string_view source)
{
    auto decoded = dialect.decode_configuration(text);
    if (!decoded)
    {
        log.write("configuration", "malformed", {},
                  {{"source", source}, {"detail", decoded.error().detail}});
        return false;
    }
    std::uint64_t const known = version();
    std::uint64_t const newer = decoded.value().version;
    // Versions join by maximum: a store that lags, or a peer, never takes this process back.
    if (newer <= known)
    {
        return false;
    }
    routing = std::make_shared<coordination::routing_table const>(std::move(decoded.value()));
    former_version = known;
    former_text = std::exchange(configuration_text, std::move(text));
    log.write("configuration", "in force", {},
              {{"version", static_cast<std::int64_t>(newer)},
               {"before", static_cast<std::int64_t>(known)},
               {"source", source},
               {"routes", static_cast<std::int64_t>(routing->configuration().routes.size())}});
    return true;
}

// -- upstreams ------------------------------------------------------------------------------------

void forward_core::take_member(state::service_member const& member, std::string_view source)
{
    state::time_point const now = boot_now();
    auto const former = directory.latest(member.name);
    directory_change const change = directory.join(member, now);
    auto const latest = directory.latest(member.name);
    if (former && latest && *former != *latest)
    {
        member_restarted(*former, *latest, source);
    }
    if (change == directory_change::none || !latest)
    {
        return;
    }
    coordination::directory_entry const* const entry = directory.find(*latest);
    changes_.add(change, entry->info, source);
    untold.push_back(entry->info);
    fleet.directory_changed(directory.digest(), now);
    if (change == directory_change::removed || change == directory_change::leaving)
    {
        if (departures.departs(*latest))
        {
            pool.drop(*latest);
        }
    }
}

// Its calls and memory went with the former start, whatever its connections say: those of a VM that
// lost power stay silent for as long as a caller waits.
void forward_core::member_restarted(state::member_key former, state::member_key latest,
                                    std::string_view source)
{
    coordination::directory_entry const* const entry = directory.find(former);
    bool const was_told = entry != nullptr && entry->info.started.value != 0;
    log.write(
        part, was_told ? "upstream started again" : "upstream's start learnt", {},
        {{"upstream", directory.find(latest)->info.name},
         {"started", static_cast<std::int64_t>(directory.find(latest)->info.started.value)},
         {"before", entry == nullptr ? 0 : static_cast<std::int64_t>(entry->info.started.value)},
         {"source", source}});
    pool.drop(former);
    health.forget(former);
    if (was_told)
    {
        departures.lost(former);
    }
}

void forward_core::note_start(state::member_key member, state::incarnation started)
{
    coordination::directory_entry const* const entry = directory.find(member);
    if (entry == nullptr)
    {
        return;
    }
    state::service_member later = entry->info;
    later.started = started;
    later.leaving = false;
    later.listed = true;
    take_member(later, "report");
}

void forward_core::take_unusable(std::span<protocol::unusable_entry const> entries,
                                 std::string_view source)
{
    for (protocol::unusable_entry const& each : entries)
    {
        log.write(part, "entry unreadable", {},
                  {{"upstream", each.name},
                   {"field", each.reason},
                   {"revision", static_cast<std::int64_t>(state::revision_in(each.revision))},
                   {"source", source}});
        if (!each.name.empty())
        {
            state::service_member member;
            member.name = each.name;
            member.revision = each.revision;
            member.usable = false;
            take_member(member, source);
        }
    }
}

void forward_core::take_members(std::span<state::service_member const> members,
                                std::string_view source)
{
    for (state::service_member const& member : members)
    {
        take_member(member, source);
    }
}

void forward_core::take_list(std::span<state::service_member const> members,
                             std::span<protocol::unusable_entry const> unusable,
                             std::uint64_t revision, std::string_view source)
{
    take_members(members, source);
    take_unusable(unusable, source);
    // By name: a list that lags may still have the former start of one that is there.
    std::unordered_set<std::string_view> listed;
    for (state::service_member const& member : members)
    {
        listed.insert(member.name);
    }
    for (protocol::unusable_entry const& each : unusable)
    {
        listed.insert(each.name);
    }
    std::vector<state::service_member> missing;
    for (auto const& [key, entry] : directory.entries())
    {
        bool const is_gone = entry.info.listed && entry.info.revision < revision &&
                             !listed.contains(entry.info.name);
        if (is_gone)
        {
            missing.push_back(entry.info);
            missing.back().listed = false;
            missing.back().revision = revision;
        }
    }
    take_members(missing, source);
    list_revision = std::max(list_revision, revision);
    has_list = true;
    directory.completed();
}

void forward_core::member_replaced(state::member_key member)
{
    directory.replaced(member, boot_now());
    pool.drop(member);
    health.forget(member);
    log.write(part, "upstream replaced", {}, {{"member", static_cast<std::int64_t>(member.value)}});
}

void forward_core::tell_changes(state::time_point now)
{
    changes_.flush(directory.digest(), now);
}

state::duration forward_core::platform_age(state::time_point now) const
{
    return now - std::max(platform_read, fleet.platform_read(now));
}

// -- evacuations ----------------------------------------------------------------------------------

// Zones travel as identifiers; their names are those of listed upstreams.
std::string forward_core::name_of(state::zone_id zone) const
{
    for (auto const& [key, entry] : directory.entries())
    {
        if (state::named<state::zone_id>(entry.info.zone) == zone)
        {
            return entry.info.zone;
        }
    }
    return std::to_string(zone.value);
}

void forward_core::note_evacuations(std::span<state::evacuation_change const> changes,
                                    std::string_view source)
{
    for (state::evacuation_change const& each : changes)
    {
        log.write("evacuation", each.taken_back ? "taken back" : "in force", {},
                  {{"zone", name_of(each.order.zone)},
                   {"revision", static_cast<std::int64_t>(state::revision_in(each.order.revision))},
                   {"as_of", static_cast<std::int64_t>(
                                 state::revision_in(directory.evacuations().known().as_of))},
                   {"platform_age_ms", whole_milliseconds(platform_age(boot_now()))},
                   {"source", source}});
        if (!each.taken_back)
        {
            departures.evacuated(each.order.zone);
        }
    }
}

void forward_core::take_evacuations(state::evacuations const& heard, std::string_view source)
{
    note_evacuations(directory.evacuations().take(heard, boot_now()), source);
}

void forward_core::follow_evacuations(std::span<protocol::zone_order const> told,
                                      std::uint64_t as_of, std::string_view source)
{
    std::vector<state::evacuation_change> changes;
    for (protocol::zone_order const& each : told)
    {
        changes.push_back(each.change);
    }
    note_evacuations(directory.evacuations().follow(changes, as_of, boot_now()), source);
}

// -- calls ----------------------------------------------------------------------------------------

bool forward_core::comes_back(std::string const& route, state::duration time_left)
{
    return patience_[route].note(time_left);
}

// -- repeats --------------------------------------------------------------------------------------

coordination::repeat_allowance& forward_core::allowance_of(std::string const& service)
{
    return allowances_.try_emplace(service, settings.repeats).first->second;
}

void forward_core::note_call(std::string const& service)
{
    allowance_of(service).note_call(boot_now());
}

bool forward_core::take_repeat(std::string const& service)
{
    // Others may be cut off from this VM and spend their shares all the same.
    bool const granted = allowance_of(service).take(boot_now(), fleet.most_live());
    metrics.add(granted ? forward_count::repeats : forward_count::repeats_denied);
    return granted;
}

} // namespace plumdale::transport
