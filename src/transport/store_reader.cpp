#include "store_reader.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"
#include "store_page_merge.hpp"

#include <plumdale/state/store_position.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part = "store";
constexpr unsigned success = 200;
constexpr unsigned not_found = 404;
constexpr unsigned gone = 410;

bool is_success(state::result<fetch_answer> const& answer)
{
    return answer && answer.value().status == success;
}

} // namespace

store_reader::store_reader(forward_core& core)
    : core_{core}, fetcher_{core.context}, timer_{core.context}
{
}

void store_reader::start()
{
    step();
}

void store_reader::schedule_step(state::duration time)
{
    timer_.expires_after(time);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                step();
            }
        });
}

void store_reader::step()
{
    if (!core_.can_route())
    {
        return bootstrap();
    }
    bool const has_reader_role = core_.fleet.update_reader_role(boot_now());
    log_role_change(has_reader_role);
    if (!has_reader_role)
    {
        return step_without_role();
    }
    if (boot_now() >= reread_at_)
    {
        reread_at_ = state::never;
        synced_ = false;
        has_configuration_ = false;
    }
    if (!has_configuration_)
    {
        return read_operator_entries(protocol::read_consistency::current, {});
    }
    synced_ ? watch() : read_list(protocol::read_consistency::current);
}

void store_reader::step_without_role()
{
    // This VM's view of the store becomes outdated; it starts over when it is a reader again.
    synced_ = false;
    has_configuration_ = false;
    core_.is_active_reader = false;
    if (core_.coverage != list_coverage::whole)
    {
        return bootstrap();
    }
    last_call_failed_ = false;
    list_ = {};
    schedule_step(role_check_interval);
}

// After a power loss the whole fleet starts at once. A read that may lag is enough to serve calls
// and costs a tenth; the readers send what changed since.
void store_reader::bootstrap()
{
    bool const asks_first = core_.is_seed && !is_published_;
    protocol::read_consistency const consistency =
        asks_first ? protocol::read_consistency::current : protocol::read_consistency::allow_stale;
    core_.version() == 0 ? read_operator_entries(consistency, {}) : read_list(consistency);
}

void store_reader::retry_unpublished()
{
    is_published_ = false;
    schedule_step(core_.is_seed ? unpublished_seed_retry_delay
                                : with_jitter(unpublished_peer_retry_delay));
}

void store_reader::log_role_change(bool has_reader_role)
{
    if (has_reader_role != had_reader_role_)
    {
        had_reader_role_ = has_reader_role;
        core_.log.write(part, has_reader_role ? "reading" : "hearing from peers", {},
                        {{"live", static_cast<std::int64_t>(core_.fleet.live_count(boot_now()))},
                         {"last_read_ms_ago", whole_milliseconds(boot_now() - last_read_)}});
    }
}

void store_reader::call(std::string target, state::duration timeout, fetch_handler handler)
{
    core_.metrics.add(forward_count::platform_calls);
    fetch_request request;
    request.address = core_.settings.platform;
    request.target = std::move(target);
    request.timeout = std::chrono::milliseconds{whole_milliseconds(timeout)};
    request.extends_on_progress = true;
    fetcher_.fetch(std::move(request),
                   [this, handler = std::move(handler)](state::result<fetch_answer> const& answer)
                   {
                       note_era(answer);
                       handler(answer);
                   });
}

void store_reader::read(std::string target, state::duration timeout, fetch_handler handler)
{
    call(std::move(target), timeout,
         [this, handler = std::move(handler)](state::result<fetch_answer> const& answer)
         { std::exchange(restart_pending_, false) ? step() : handler(answer); });
}

// A restored store assigns its revisions again, so a continued watch would miss what was written in
// between; and for a while it lacks what was written since the copy.
void store_reader::note_era(state::result<fetch_answer> const& answer)
{
    auto const era = answer ? core_.dialect.read_era(answer.value().fields) : std::nullopt;
    if (!era || !position_tracker_.advance_era(*era))
    {
        return;
    }
    core_.log.write(part, "came back from a copy", {},
                    {{"era", static_cast<std::int64_t>(*era)},
                     {"after", static_cast<std::int64_t>(watch_revision_)}});
    synced_ = false;
    has_configuration_ = false;
    restart_pending_ = true;
    list_ = {};
    reread_at_ = boot_now() + rewrite_time;
    core_.directory.platform_recovered(boot_now());
}

void store_reader::assign_positions(protocol::store_page& page,
                                    protocol::read_consistency consistency)
{
    using protocol::read_consistency;
    auto const to_position = [this, consistency](std::uint64_t revision)
    {
        return consistency == read_consistency::current
                   ? position_tracker_.position_of(revision)
                   : position_tracker_.lagging_position(revision);
    };
    for (state::service_member& member : page.members)
    {
        member.revision = to_position(member.revision);
    }
    for (protocol::unusable_entry& entry : page.unusable)
    {
        entry.revision = to_position(entry.revision);
    }
    for (protocol::evacuation_order& order : page.orders)
    {
        order.change.order.revision = to_position(order.change.order.revision);
    }
    page.revision = consistency == read_consistency::current
                        ? position_tracker_.current_position(page.revision)
                        : position_tracker_.lagging_position(page.revision);
    page.newest_revision = to_position(page.newest_revision);
}

state::result<protocol::store_page>
store_reader::parse_page(state::result<fetch_answer> const& answer,
                         protocol::read_consistency consistency)
{
    if (!is_success(answer))
    {
        return state::failure{};
    }
    auto page = core_.dialect.read_page(answer.value().body);
    if (page)
    {
        if (consistency == protocol::read_consistency::current)
        {
            position_tracker_.observe_revision(page.value().revision);
        }
        assign_positions(page.value(), consistency);
    }
    return page;
}

void store_reader::succeeded(protocol::read_consistency consistency)
{
    state::time_point const now = boot_now();
    retry_delay_ = initial_retry_delay;
    if (consistency == protocol::read_consistency::allow_stale)
    {
        last_call_failed_ = false;
        return;
    }
    if (last_call_failed_)
    {
        state::time_point const last_known =
            std::max(last_read_, core_.fleet.last_platform_read(now));
        bool const may_have_lapsed = now - last_known > expiry_outage;
        core_.log.write(part, "regained", {},
                        {{"outage_ms", whole_milliseconds(now - last_read_)},
                         {"fleet_outage_ms", whole_milliseconds(now - last_known)}});
        if (may_have_lapsed)
        {
            core_.directory.platform_recovered(now);
        }
        last_call_failed_ = false;
    }
    last_read_ = now;
    core_.last_platform_read = now;
    ++core_.store_reads;
    core_.is_active_reader = core_.fleet.is_reader();
}

state::duration store_reader::with_jitter(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> distribution{time.count() / 2,
                                                                     time.count()};
    return state::duration{distribution(core_.random)};
}

std::size_t store_reader::other_requesters() const
{
    state::time_point const now = boot_now();
    return core_.can_route() ? core_.fleet.peers_without_store(now)
                             : core_.fleet.live_count(now) - 1;
}

void store_reader::failed(std::string_view what, state::result<fetch_answer> const& answer)
{
    core_.metrics.add(forward_count::platform_failures);
    if (!last_call_failed_)
    {
        last_call_failed_ = true;
        core_.log.write(
            part, "lost", {},
            {{"call", what},
             {"detail", answer ? std::to_string(answer.value().status) : answer.error().detail}});
    }
    schedule_step(with_jitter(retry_delay_));
    auto const delay_factor = static_cast<std::int64_t>(
        std::max<std::size_t>(1, other_requesters() / max_full_rate_requesters));
    retry_delay_ =
        std::min({retry_delay_ * 2, max_retry_delay * delay_factor, max_shared_retry_delay});
}

void store_reader::read_operator_entries(protocol::read_consistency consistency,
                                         std::string const& page)
{
    if (page.empty())
    {
        operator_entries_ = {};
    }
    read(core_.dialect.operator_entries_target(consistency, page), answer_timeout,
         [this, consistency](state::result<fetch_answer> const& answer)
         {
             if (answer && answer.value().status == not_found)
             {
                 return retry_unpublished();
             }
             auto answered = parse_page(answer, consistency);
             if (!answered)
             {
                 return failed("configuration", answer);
             }
             succeeded(consistency);
             add_operator_page(operator_entries_, std::move(answered).value());
             operator_entries_.next_page.empty()
                 ? apply_operator_entries(consistency)
                 : read_operator_entries(consistency, operator_entries_.next_page);
         });
}

void store_reader::apply_operator_entries(protocol::read_consistency consistency)
{
    if (operator_entries_.configuration.empty())
    {
        return retry_unpublished();
    }
    core_.apply_evacuations(evacuations_in(operator_entries_, consistency), part);
    if (consistency == protocol::read_consistency::current)
    {
        has_configuration_ = core_.can_route();
        watch_revision_ = state::revision_in(operator_entries_.revision);
    }
    bool const is_newer =
        core_.apply_configuration(std::move(operator_entries_.configuration), part);
    if (is_newer && consistency == protocol::read_consistency::current)
    {
        core_.on_configuration_read();
    }
    step();
}

void store_reader::read_once(std::function<void()> on_not_newer)
{
    if (std::exchange(reading_once_, true))
    {
        return;
    }
    auto const timer = std::make_shared<net::steady_timer>(core_.context);
    std::uniform_int_distribution<std::int64_t> spread{0, read_once_jitter.count()};
    timer->expires_after(state::duration{spread(core_.random)});
    timer->async_wait(
        [this, timer, on_not_newer = std::move(on_not_newer)](boost::system::error_code error)
        {
            if (!error)
            {
                read_newer(protocol::read_consistency::allow_stale, on_not_newer);
            }
        });
}

// A read that may lag costs a tenth, and nearly always has the version that a peer already uses.
void store_reader::read_newer(protocol::read_consistency consistency,
                              std::function<void()> const& on_not_newer)
{
    call(core_.dialect.operator_entries_target(consistency, {}), answer_timeout,
         [this, consistency, on_not_newer](state::result<fetch_answer> const& answer)
         {
             auto const page = is_success(answer)
                                   ? core_.dialect.read_page(answer.value().body)
                                   : state::result<protocol::store_page>{state::failure{}};
             bool const is_newer =
                 page && core_.apply_configuration(page.value().configuration, part);
             if (!is_newer && page && consistency == protocol::read_consistency::allow_stale)
             {
                 return read_newer(protocol::read_consistency::current, on_not_newer);
             }
             reading_once_ = false;
             if (!is_newer)
             {
                 core_.metrics.add(forward_count::platform_failures);
                 on_not_newer();
             }
         });
}

void store_reader::watch()
{
    read(core_.dialect.watch_target(watch_revision_, watch_wait), watch_wait + answer_timeout,
         [this](state::result<fetch_answer> const& answer)
         {
             if (answer && answer.value().status == gone)
             {
                 core_.log.write(part, "history dropped", {},
                                 {{"after", static_cast<std::int64_t>(watch_revision_)}});
                 synced_ = false;
                 has_configuration_ = false;
                 return step();
             }
             auto page = is_success(answer) ? core_.dialect.read_changes(answer.value().body)
                                            : state::result<protocol::store_page>{state::failure{}};
             if (!page)
             {
                 return failed("watch", answer);
             }
             succeeded(protocol::read_consistency::current);
             watch_revision_ = std::max(watch_revision_, page.value().revision);
             assign_positions(page.value(), protocol::read_consistency::current);
             bool const is_newer = !page.value().configuration.empty() &&
                                   core_.apply_configuration(page.value().configuration, part);
             if (is_newer)
             {
                 core_.on_configuration_read();
             }
             core_.apply_evacuation_changes(page.value().orders, page.value().revision, part);
             if (!page.value().orders.empty())
             {
                 core_.on_evacuations_read();
             }
             core_.apply_members(page.value().members, part);
             core_.apply_unusable_entries(page.value().unusable, part);
             schedule_step(watch_pause);
         });
}

} // namespace plumdale::transport
