#include "forward_core.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"
#include "upstream_exchange.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

// A VM that has just started learns within this time which VMs read the store. The seeds, which all
// others contact first, become eligible as readers first.
constexpr state::duration seed_eligibility_delay = std::chrono::milliseconds{500};
constexpr state::duration start_eligibility_delay = std::chrono::milliseconds{1'500};

bool is_listed_as_seed(protocol::forward_settings const& settings)
{
    return std::find(settings.seeds.begin(), settings.seeds.end(), settings.datagrams) !=
           settings.seeds.end();
}

std::vector<state::node_id> nodes_of(std::vector<state::endpoint> const& endpoints)
{
    std::vector<state::node_id> nodes;
    for (state::endpoint const& each : endpoints)
    {
        nodes.push_back(state::id_from_name<state::node_id>(protocol::to_text(each)));
    }
    return nodes;
}

std::random_device::result_type random_seed()
{
    std::random_device device;
    return device();
}

} // namespace

forward_core::forward_core(net::io_context& loop,
                           protocol::forward_settings const& process_settings,
                           protocol::dialect const& platform_dialect, decision_log& logger)
    : context{loop}, settings{process_settings}, dialect{platform_dialect}, log{logger},
      self{state::id_from_name<state::node_id>(protocol::to_text(process_settings.datagrams))},
      is_seed{is_listed_as_seed(process_settings)}, random{random_seed()},
      fleet{self, boot_now() + (is_seed ? seed_eligibility_delay : start_eligibility_delay)},
      cold_limiter{fleet, self, boot_now()}, limits{fleet, self, directory, logger, "limit"},
      refusal_limits{fleet, self, directory, logger, "refusal limit"},
      refusals{refusal_limits.known()}, gate{directory,    health,         backoffs,
                                             cold_limiter, limits.known(), refusals},
      subset{directory, self}, parts{process_settings.parts},
      suspicions{directory, self, state::id_from_name<state::zone_id>(process_settings.zone)},
      zones{state::id_from_name<state::zone_id>(process_settings.zone)},
      selector{directory,     ledger, health,
               gate,          subset, hints,
               settings.zone, random, process_settings.pace},
      quarantine{logger, metrics}, pool{[this](state::member_key member, std::string_view bytes)
                                        {
                                            note_unasked(member, bytes);
                                        }},
      prober{*this}, peers{fleet, random}, orders{loop,
                                                  process_settings.upstream_source,
                                                  platform_dialect,
                                                  directory,
                                                  gate,
                                                  [this](
                                                      state::member_key member,
                                                      protocol::upstream_statement const& statement)
                                                  {
                                                      apply_statement(member, statement);
                                                  }},
      departures{loop,
                 platform_dialect,
                 directory,
                 ledger,
                 orders,
                 logger,
                 [this](state::member_key member, state::incarnation started)
                 {
                     apply_reported_start(member, started);
                 }},
      change_log_{logger}, unreadable_log_{logger}, started_at_{boot_now()},
      slack_sharing_{fleet, self, nodes_of(process_settings.seeds), started_at_,
                     process_settings.retry_limit.window}
{
    quarantine.on_end_in_doubt = [this](state::member_key member)
    {
        prober.probe_end(member);
    };
}

// -- configuration --------------------------------------------------------------------------------

bool forward_core::apply_configuration(std::string text, std::string_view source)
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
    // The highest version wins: a lagging store or peer never sets this process back.
    if (newer <= known)
    {
        return false;
    }
    routing = std::make_shared<coordination::routing_table const>(std::move(decoded.value()));
    configure_parts(settings.parts);
    former_version = known;
    former_text = std::exchange(configuration_text, std::move(text));
    log.write("configuration", "in force", {},
              {{"version", static_cast<std::int64_t>(newer)},
               {"before", static_cast<std::int64_t>(known)},
               {"source", source},
               {"routes", static_cast<std::int64_t>(routing->configuration().routes.size())}});
    return true;
}

void forward_core::allow_parts(coordination::load_part_settings const& allowed)
{
    if (routing != nullptr)
    {
        configure_parts(allowed);
    }
}

void forward_core::configure_parts(coordination::load_part_settings const& allowed)
{
    coordination::load_parts const before = parts;
    parts.allow(allowed);
    parts.configure(routing->configuration());
    for (std::size_t i = 0; i < coordination::load_part_count; ++i)
    {
        auto const each = static_cast<coordination::load_part>(i);
        if (parts.is_on(each) != before.is_on(each))
        {
            log.write("part", parts.is_on(each) ? "on" : "off", {},
                      {{"name", coordination::load_part_names[i]},
                       {"because", parts.status(each).because}});
        }
    }
    using coordination::load_part;
    hints.speeds = parts.is_on(load_part::learned_speeds) ? &speeds : nullptr;
    hints.suspicions = parts.is_on(load_part::shared_suspicions) ? &suspicions : nullptr;
    hints.zones = parts.is_on(load_part::shared_suspicions) ? &zones : nullptr;
}

// -- calls ----------------------------------------------------------------------------------------

coordination::wait_forecast& forward_core::forecast_of(state::route const& route)
{
    return forecasts_[route.name];
}

state::node_id forward_core::choose_trial_vm(state::prompt_part part) const
{
    state::time_point const now = boot_now();
    std::vector<state::node_id> live{self};
    for (auto const& [node, peer] : fleet.peers())
    {
        if (fleet.is_live(peer, now))
        {
            live.push_back(node);
        }
    }
    return coordination::choose_trial_vm(part, live);
}

std::size_t forward_core::running_calls(state::service const& service) const
{
    std::size_t sum = 0;
    for (state::member_key const member : directory.members_of(service.name))
    {
        sum += ledger.total(member).calls;
    }
    return sum;
}

// -- retries --------------------------------------------------------------------------------------

coordination::fleet_retry_budget& forward_core::retry_budget_of(std::string const& service)
{
    // The same after a restart, which would otherwise draw once more.
    std::uint64_t const draw = state::mix(self.value, state::stable_hash(service));
    double const rounding = static_cast<double>(draw) / static_cast<double>(UINT64_MAX);
    return retry_budgets_.try_emplace(service, settings.retry_limit, rounding).first->second;
}

void forward_core::note_call(std::string const& service)
{
    retry_budget_of(service).note_call(boot_now());
}

bool forward_core::reserve_retry(std::string const& service, coordination::retry_priority priority)
{
    state::time_point const now = boot_now();
    bool const granted =
        retry_budget_of(service).reserve(now, slack_sharing_.sharers(now), priority);
    if (!granted)
    {
        metrics.add(forward_count::repeats_denied);
    }
    return granted;
}

void forward_core::spend_retry(std::string const& service)
{
    metrics.add(forward_count::repeats);
    retry_budget_of(service).spend(boot_now());
}

void forward_core::release_retry(std::string const& service)
{
    metrics.add(forward_count::repeats_released);
    retry_budget_of(service).release();
}

void forward_core::log_repeat(std::string_view id, std::string const& service,
                              std::string_view kind)
{
    state::time_point const now = boot_now();
    coordination::retry_counts const counted = retry_budget_of(service).counts(now);
    log.write("call", "repeat", id,
              {{"kind", kind},
               {"service", service},
               {"calls_in_window", counted.calls},
               {"retries_in_window", counted.retries},
               {"sharers", static_cast<std::int64_t>(slack_sharing_.sharers(now))},
               {"up_ms", whole_milliseconds(now - started_at_)}});
}

// -- paths to upstreams ---------------------------------------------------------------------------

// Those that leave are neither probed nor sent to, and would keep the paths from counting as lost.
// Counted no further than matters, as there may be thousands.
std::size_t forward_core::usable_upstreams(state::time_point now) const
{
    std::size_t count = 0;
    for (state::service const& service : routing->configuration().services)
    {
        for (state::member_key const member : directory.members_of(service.name))
        {
            coordination::directory_entry const* const entry = directory.find(member);
            count += entry != nullptr && directory.may_take_work(*entry, now) ? 1 : 0;
            if (count >= coordination::upstream_reach::min_failed)
            {
                return count;
            }
        }
    }
    return count;
}

void forward_core::note_connected(state::member_key member)
{
    state::time_point const now = boot_now();
    note_answered(member);
    state::time_point const since = reach.lost_since();
    if (reach.connected(now) == coordination::reach_change::restored)
    {
        log.write("reach", "upstreams reached again", {},
                  {{"ms", whole_milliseconds(now - since)}});
    }
}

void forward_core::note_unasked(state::member_key member, std::string_view bytes)
{
    coordination::directory_entry const* const entry = directory.find(member);
    metrics.add(forward_count::answers_discarded);
    log.write("connections", "bytes that belong to no call", {},
              {{"upstream", entry == nullptr ? std::string_view{} : entry->info.name},
               {"begin", bytes.substr(0, bytes.find('\r'))}});
}

void forward_core::note_connection_failed(state::member_key member, connection_failure failure)
{
    // A process that can't open a connection learns nothing of the path.
    if (failure == connection_failure::local || routing == nullptr)
    {
        return;
    }
    state::time_point const now = boot_now();
    if (reach.connection_failed(member, usable_upstreams(now), now) ==
        coordination::reach_change::lost)
    {
        metrics.add(forward_count::reach_losses);
        log.write("reach", "no upstream reached", {},
                  {{"last", to_text(failure)},
                   {"failed", static_cast<std::int64_t>(reach.failed().size())},
                   {"usable_upstreams", static_cast<std::int64_t>(usable_upstreams(now))},
                   {"peers", static_cast<std::int64_t>(fleet.live_count(now) - 1)}});
    }
    note_finding(member, failure);
    if (reach.is_lost())
    {
        // The path failed, not the upstream, which is neither ejected nor cold after it.
        health.forget(member);
        for (state::member_key const each : reach.failed())
        {
            health.forget(each);
        }
    }
    prober.advance(now);
}

void forward_core::note_answered(state::member_key member)
{
    if (hints.suspicions != nullptr)
    {
        suspicions.note(member, coordination::suspicion_kind::answered, boot_now());
        zones.connected(zone_of(member), boot_now());
    }
}

state::zone_id forward_core::zone_of(state::member_key member) const
{
    coordination::directory_entry const* const entry = directory.find(member);
    return entry == nullptr ? state::zone_id{}
                            : state::id_from_name<state::zone_id>(entry->info.zone);
}

void forward_core::note_connecting(state::member_key member, bool begins)
{
    if (hints.zones != nullptr)
    {
        begins ? zones.connecting(zone_of(member), member, boot_now())
               : zones.connecting_ended(zone_of(member), member);
    }
}

bool forward_core::is_any_zone_cut(state::time_point now) const
{
    return hints.zones != nullptr && !reach.is_lost() && zones.is_any_cut(now);
}

bool forward_core::is_zone_cut(state::member_key member, state::time_point now) const
{
    return hints.zones != nullptr && !reach.is_lost() && zones.is_cut(zone_of(member), now);
}

std::vector<state::zone_id> forward_core::cut_zones(state::time_point now) const
{
    return hints.zones == nullptr ? std::vector<state::zone_id>{} : zones.cut(now);
}

void forward_core::advance_zones(state::time_point now)
{
    if (hints.zones == nullptr || reach.is_lost())
    {
        return;
    }
    for (coordination::zone_probes const& due : zones.take_due_probes(fleet.live_count(now), now))
    {
        prober.probe_zone(due.zone, due.count, now);
    }
    log_zones(now);
}

// The path failed, not the upstreams, which are neither ejected nor cold after it.
void forward_core::forget_failures(state::zone_id zone)
{
    for (auto const& [key, entry] : directory.entries())
    {
        if (state::id_from_name<state::zone_id>(entry.info.zone) == zone)
        {
            health.forget(key);
        }
    }
}

void forward_core::log_zones(state::time_point now)
{
    for (coordination::zone_change const& each : zones.take_changes(now))
    {
        if (!each.is_cut)
        {
            // Connections that began before the cut was seen have failed of it.
            suspicions.path_failed(each.zone, each.since - upstream_exchange::connect_timeout);
            forget_failures(each.zone);
        }
        metrics.add(each.is_cut ? forward_count::zone_cuts : forward_count::zone_cuts_ended);
        log.write("zone reach", each.is_cut ? "zone not reached" : "zone reached again", {},
                  {{"zone", name_of(each.zone)}, {"ms", whole_milliseconds(now - each.since)}});
    }
}

// Nothing is learnt of upstreams while this VM reaches none.
void forward_core::note_finding(state::member_key member, connection_failure failure)
{
    if (hints.suspicions == nullptr || failure == connection_failure::local)
    {
        return;
    }
    bool const is_refused =
        failure == connection_failure::refused || failure == connection_failure::reset;
    if (reach.is_lost())
    {
        return;
    }
    state::time_point const now = boot_now();
    zones.connection_failed(zone_of(member), member, now);
    advance_zones(now);
    if (zones.is_cut(zone_of(member), now))
    {
        return on_finding();
    }
    suspicions.note(member,
                    is_refused ? coordination::suspicion_kind::refused
                               : coordination::suspicion_kind::timed_out,
                    now);
    on_finding();
    if (!is_refused)
    {
        probe_in_doubt(member);
    }
}

// Probed before the next call finds it gone.
void forward_core::probe_in_doubt(state::member_key member)
{
    bool const is_known = hints.suspicions != nullptr && directory.find(member) != nullptr;
    if (is_known && !reach.is_lost() && suspicions.take_probe_in_doubt(member, boot_now()))
    {
        prober.probe_suspect(member);
    }
}

void forward_core::log_suspicions(state::time_point now)
{
    constexpr std::size_t max_lines = 16;
    std::vector<coordination::suspicion_change> const changes = suspicions.take_changes(now);
    std::size_t lines = 0;
    for (coordination::suspicion_change const& each : changes)
    {
        metrics.add(each.is_suspected ? forward_count::suspicions
                                      : forward_count::suspicions_ended);
        if (++lines > max_lines)
        {
            continue;
        }
        coordination::directory_entry const* const entry = directory.find(each.member);
        log.write("suspicion", each.is_suspected ? "upstream suspected" : "upstream not suspected",
                  {},
                  {{"upstream", entry == nullptr ? std::string_view{} : entry->info.name},
                   {"vms", static_cast<std::int64_t>(each.vms)},
                   {"changes", static_cast<std::int64_t>(changes.size())}});
    }
}

} // namespace plumdale::transport
