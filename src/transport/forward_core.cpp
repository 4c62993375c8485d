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
    directory_change const change = directory.join(member, now);
    if (change == directory_change::none)
    {
        return;
    }
    state::member_key const key = state::key_of(member);
    coordination::directory_entry const* const entry = directory.find(key);
    log.write(part, change_name(change), {},
              {{"upstream", member.name},
               {"revision", static_cast<std::int64_t>(member.revision)},
               {"source", source}});
    untold.push_back(entry->info);
    fleet.directory_changed(directory.digest(), now);
    if (change != directory_change::listed)
    {
        member_departs(key);
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

void forward_core::take_list(std::span<state::service_member const> members, std::uint64_t revision,
                             std::string_view source)
{
    take_members(members, source);
    std::unordered_set<state::member_key> listed;
    for (state::service_member const& member : members)
    {
        listed.insert(state::key_of(member));
    }
    std::vector<state::service_member> missing;
    for (auto const& [key, entry] : directory.entries())
    {
        bool const is_gone =
            entry.info.listed && entry.info.revision < revision && !listed.contains(key);
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

void forward_core::tell_departure(state::member_key member)
{
    coordination::departure const when = departures_[member];
    // Listeners may go while they are told.
    std::vector<departure_listener*> const told{listeners_.begin(), listeners_.end()};
    for (departure_listener* const listener : told)
    {
        if (listeners_.contains(listener))
        {
            listener->member_leaves(member, when);
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
