#include "departure_tracker.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part = "directory";
constexpr unsigned success = 200;
// A leaving upstream answers within a millisecond or two; a later answer is of no use.
constexpr std::chrono::milliseconds report_timeout{300};
// Upstreams' reports describe their state of 500 ms ago.
constexpr std::chrono::milliseconds report_lag{500};
constexpr std::chrono::milliseconds report_slack{60};
// Between questions whether an upstream restarted: the way to it may be disturbed as well, and a
// process that answers late is still listened to.
constexpr std::chrono::milliseconds first_restart_pause{200};
constexpr std::chrono::milliseconds max_restart_pause{2'000};
constexpr std::chrono::milliseconds restart_answer_timeout{6'000};

} // namespace

departure_tracker::departure_tracker(net::io_context& context, protocol::dialect const& dialect,
                                     coordination::service_directory const& directory,
                                     coordination::load_ledger const& ledger,
                                     upstream_orders& orders, decision_log& log,
                                     restart_handler on_restart)
    : context_{context}, dialect_{dialect}, directory_{directory}, ledger_{ledger}, orders_{orders},
      log_{log}, on_restart_{std::move(on_restart)}
{
}

void departure_tracker::add_listener(departure_listener& listener)
{
    listeners_.insert(&listener);
}

void departure_tracker::remove_listener(departure_listener& listener)
{
    listeners_.erase(&listener);
}

coordination::departure const* departure_tracker::find(state::member_key member) const
{
    auto const found = departures_.find(member);
    return found == departures_.end() ? nullptr : &found->second;
}

bool departure_tracker::record_departure(state::member_key member)
{
    coordination::departure const now_learnt{boot_now(), std::nullopt};
    if (!departures_.try_emplace(member, now_learnt).second)
    {
        return false;
    }
    notify(member);
    // Only an entry VM with generations at the upstream needs its departure time.
    if (ledger_.own(member).tokens > 0)
    {
        schedule_report_request(member);
    }
    return true;
}

void departure_tracker::notify_restart(state::member_key former, coordination::run_ended proof)
{
    notify_listeners([former, proof](departure_listener& listener)
                     { listener.on_member_restarted(former, proof); });
}

void departure_tracker::notify_evacuation(state::zone_id zone)
{
    notify_listeners([zone](departure_listener& listener) { listener.on_zone_evacuated(zone); });
}

void departure_tracker::sweep()
{
    std::erase_if(departures_,
                  [this](auto const& row) { return directory_.find(row.first) == nullptr; });
}

// -- reports --------------------------------------------------------------------------------------

// Reports are `report_lag` old: one requested at once would still say that the upstream stays.
void departure_tracker::schedule_report_request(state::member_key member)
{
    auto const timer = std::make_shared<net::steady_timer>(context_, report_lag + report_slack);
    timer->async_wait(
        [this, member, timer](boost::system::error_code error)
        {
            if (!error)
            {
                request_report(member);
            }
        });
}

void departure_tracker::request_report(state::member_key member)
{
    if (directory_.find(member) == nullptr)
    {
        return;
    }
    orders_.send(member, dialect_.report_request(), report_timeout,
                 [this, member](state::result<fetch_answer> const& answer)
                 {
                     bool const is_success = answer && answer.value().status == success;
                     apply_report(member, is_success ? dialect_.read_report(answer.value().body)
                                                     : state::result<protocol::member_report>{
                                                           state::failure{}});
                 });
}

void departure_tracker::apply_report(state::member_key member,
                                     state::result<protocol::member_report> const& report)
{
    coordination::directory_entry const* const entry = directory_.find(member);
    bool const has_restarted = report && entry != nullptr && entry->info.started.value != 0 &&
                               entry->info.started < report.value().started;
    auto const leaves_in =
        report && !has_restarted ? report.value().leaves_in : std::optional<state::duration>{};
    log_.write(part, "departure asked", {},
               {{"member", static_cast<std::int64_t>(member.value)},
                {"leaves_in_ms", leaves_in ? whole_milliseconds(*leaves_in) : -1}});
    if (has_restarted)
    {
        // The platform's list may show the restart seconds later, or not at all while the store is
        // unreachable.
        return on_restart_(member, report.value().started);
    }
    if (leaves_in)
    {
        departures_[member].leaves_at = boot_now() + *leaves_in - report_lag;
    }
    notify(member);
}

// -- restarts -------------------------------------------------------------------------------------

void departure_tracker::ask_restart(state::member_key former)
{
    if (asked_for_restart_.insert(former).second)
    {
        ask_restart(former, first_restart_pause);
    }
}

void departure_tracker::ask_restart(state::member_key former, std::chrono::milliseconds pause)
{
    // Only an entry VM with generations at the upstream has anything to decide.
    if (directory_.find(former) == nullptr || ledger_.own(former).tokens == 0)
    {
        asked_for_restart_.erase(former);
        return;
    }
    send_restart_question(former);
    auto const timer = std::make_shared<net::steady_timer>(context_, pause);
    timer->async_wait(
        [this, former, pause, timer](boost::system::error_code error)
        {
            if (!error && asked_for_restart_.contains(former))
            {
                ask_restart(former, std::min(2 * pause, max_restart_pause));
            }
        });
}

void departure_tracker::send_restart_question(state::member_key former)
{
    orders_.send(former, dialect_.report_request(), restart_answer_timeout,
                 [this, former, before = directory_.find(former)->info.started](
                     state::result<fetch_answer> const& answer)
                 { on_restart_answer(former, before, answer); });
}

void departure_tracker::on_restart_answer(state::member_key former, state::incarnation before,
                                          state::result<fetch_answer> const& answer)
{
    auto const proof = restart_proof(answer, before);
    // The pauses lead to the next question after one that was lost.
    bool const is_settled = proof || answer;
    if (!is_settled || asked_for_restart_.erase(former) == 0)
    {
        return;
    }
    log_.write(part, "restart asked", {},
               {{"member", static_cast<std::int64_t>(former.value)},
                {"proof",
                 coordination::to_text(proof ? proof->proof() : coordination::send_proof::none)}});
    if (proof)
    {
        notify_restart(former, *proof);
    }
}

// The upstream's own word, or nobody there to say one.
std::optional<coordination::run_ended>
departure_tracker::restart_proof(state::result<fetch_answer> const& answer,
                                 state::incarnation before) const
{
    using coordination::run_ended;
    using coordination::send_proof;
    if (!answer)
    {
        bool const is_gone = answer.error().kind == state::error_kind::connection_refused;
        return is_gone ? run_ended::by(send_proof::process_gone) : std::nullopt;
    }
    auto const report = answer.value().status == success
                            ? dialect_.read_report(answer.value().body)
                            : state::result<protocol::member_report>{state::failure{}};
    bool const is_later = report && before < report.value().started;
    return is_later ? run_ended::by(send_proof::restarted) : std::nullopt;
}

// -- listeners ------------------------------------------------------------------------------------

void departure_tracker::notify(state::member_key member)
{
    coordination::departure const when = departures_[member];
    notify_listeners([member, &when](departure_listener& listener)
                     { listener.on_member_leaving(member, when); });
}

void departure_tracker::notify_listeners(std::function<void(departure_listener&)> const& notify)
{
    // Listeners may remove themselves while they are notified.
    std::vector<departure_listener*> const current{listeners_.begin(), listeners_.end()};
    for (departure_listener* const listener : current)
    {
        if (listeners_.contains(listener))
        {
            notify(*listener);
        }
    }
}

} // namespace plumdale::transport
