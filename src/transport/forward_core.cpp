#include "forward_core.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{
namespace
{

using coordination::directory_change;

constexpr std::string_view part = "directory";
// An upstream that leaves answers within a millisecond or two; later its answer is no use.
constexpr std::chrono::milliseconds report_timeout{300};
// Upstreams' reports tell of the time this long ago: 500 ms in all that were seen.
constexpr std::chrono::milliseconds report_lag{500};
constexpr std::chrono::milliseconds report_slack{60};

std::string_view change_name(directory_change change)
{
    switch (change)
    {
    case directory_change::listed:
        return "upstream listed";
    case directory_change::leaving:
        return "upstream leaving";
    case directory_change::removed:
        return "upstream removed";
    case directory_change::unusable:
        return "upstream's entry unusable";
    case directory_change::none:
        break;
    }
    return "upstream unchanged";
}

std::random_device::result_type random_seed()
{
    std::random_device device;
    return device();
}

} // namespace

forward_core::forward_core(net::io_context& loop, protocol::forward_settings const& chosen,
                           protocol::dialect const& words, decision_log& lines)
    : context{loop}, settings{chosen}, dialect{words}, log{lines}, random{random_seed()},
      fleet{state::named<state::node_id>(protocol::to_text(chosen.datagrams))},
      choice{directory, ledger, health, settings.zone, random}, orders{loop}
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
    configuration_text = std::move(text);
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
    log.write(part, change_name(change), {},
              {{"upstream", member.name},
               {"started", static_cast<std::int64_t>(entry->info.started.value)},
               {"revision", static_cast<std::int64_t>(member.revision)},
               {"source", source}});
    untold.push_back(entry->info);
    fleet.directory_changed(directory.digest(), now);
    if (change == directory_change::removed || change == directory_change::leaving)
    {
        member_departs(*latest);
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
        tell_listeners([former](departure_listener& listener) { listener.member_lost(former); });
    }
}

void forward_core::take_unusable(std::span<protocol::unusable_entry const> entries,
                                 std::string_view source)
{
    for (protocol::unusable_entry const& each : entries)
    {
        log.write(part, "entry unreadable", {},
                  {{"upstream", each.name},
                   {"field", each.reason},
                   {"revision", static_cast<std::int64_t>(each.revision)},
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
}

void forward_core::member_replaced(state::member_key member)
{
    directory.replaced(member, boot_now());
    pool.drop(member);
    health.forget(member);
    log.write(part, "upstream replaced", {}, {{"member", static_cast<std::int64_t>(member.value)}});
}

state::duration forward_core::platform_age(state::time_point now) const
{
    return now - std::max(platform_read, fleet.platform_read(now));
}

// -- departures -----------------------------------------------------------------------------------

void forward_core::listen(departure_listener& listener)
{
    listeners_.insert(&listener);
}

void forward_core::forget(departure_listener& listener)
{
    listeners_.erase(&listener);
}

coordination::departure const* forward_core::departure_of(state::member_key member) const
{
    auto const found = departures_.find(member);
    return found == departures_.end() ? nullptr : &found->second;
}

void forward_core::member_departs(state::member_key member)
{
    if (departures_.try_emplace(member, coordination::departure{boot_now(), std::nullopt}).second)
    {
        pool.drop(member);
        tell_departure(member);
        // Only who has generations there needs to know when it goes.
        if (ledger.own(member).tokens > 0)
        {
            ask_departure_later(member);
        }
    }
}

// Reports are as old as `report_lag`: asked at once, one would still say that the upstream stays.
void forward_core::ask_departure_later(state::member_key member)
{
    auto const timer = std::make_shared<net::steady_timer>(context, report_lag + report_slack);
    timer->async_wait(
        [this, member, timer](boost::system::error_code error)
        {
            if (!error)
            {
                ask_departure(member);
            }
        });
}

void forward_core::ask_departure(state::member_key member)
{
    coordination::directory_entry const* const entry = directory.find(member);
    protocol::own_request const wanted = dialect.report_request();
    fetch_request request;
    request.address = entry->info.address;
    request.method = wanted.method;
    request.target = wanted.target;
    request.timeout = report_timeout;
    fetch(context, std::move(request),
          [this, member](state::result<fetch_answer> const& answer)
          {
              auto const report = answer && answer.value().status == 200
                                      ? dialect.read_report(answer.value().body)
                                      : state::result<protocol::member_report>{state::failure{}};
              if (report)
              {
                  note_start(member, report.value().started);
              }
              if (report && report.value().leaves_in)
              {
                  departures_[member].leaves_at =
                      boot_now() + *report.value().leaves_in - report_lag;
              }
              log.write(part, "departure asked", {},
                        {{"member", static_cast<std::int64_t>(member.value)},
                         {"leaves_in_ms", report && report.value().leaves_in
                                              ? whole_milliseconds(*report.value().leaves_in)
                                              : -1}});
              tell_departure(member);
          });
}

// A report of a later start: the platform's list may tell it seconds later, or not while it is
// away.
void forward_core::note_start(state::member_key member, state::incarnation started)
{
    coordination::directory_entry const* const entry = directory.find(member);
    if (entry == nullptr || entry->info.started.value == 0 || started <= entry->info.started)
    {
        return;
    }
    state::service_member later = entry->info;
    later.started = started;
    later.leaving = false;
    later.listed = true;
    take_member(later, "report");
}

void forward_core::tell_departure(state::member_key member)
{
    coordination::departure const when = departures_[member];
    tell_listeners([member, &when](departure_listener& listener)
                   { listener.member_leaves(member, when); });
}

void forward_core::tell_listeners(std::function<void(departure_listener&)> const& tell)
{
    // Listeners may go while they are told.
    std::vector<departure_listener*> const told{listeners_.begin(), listeners_.end()};
    for (departure_listener* const listener : told)
    {
        if (listeners_.contains(listener))
        {
            tell(*listener);
        }
    }
}

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
