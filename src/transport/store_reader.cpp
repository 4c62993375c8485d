#include "store_reader.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

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

bool is_whole(state::result<fetch_answer> const& answer)
{
    return answer && answer.value().status == success;
}

// Pages are not one snapshot: changes since the first are heard from the watch.
void add_page(protocol::store_page& whole, protocol::store_page page)
{
    whole.revision = whole.revision == 0 ? page.revision : whole.revision;
    whole.newest = std::max(whole.newest, page.newest);
    whole.next_page = std::move(page.next_page);
    if (!page.configuration.empty())
    {
        whole.configuration = std::move(page.configuration);
    }
    whole.orders.insert(whole.orders.end(), page.orders.begin(), page.orders.end());
}

// A page that lags tells the store's revision of now with what was true some seconds ago. Taken as
// of now, it would undo an order that peers told of; the newest thing in it is not too new.
state::evacuations evacuations_in(protocol::store_page const& page, protocol::store_read kind)
{
    state::evacuations orders;
    orders.as_of = kind == protocol::store_read::current ? page.revision : page.newest;
    for (protocol::zone_order const& each : page.orders)
    {
        orders.in_force.push_back(each.change.order);
    }
    return orders;
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

void store_reader::step_in(state::duration time)
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
    if (!core_.informed())
    {
        return learn();
    }
    bool const reads = core_.fleet.decide_duty(boot_now());
    note_duty(reads);
    if (!reads)
    {
        // What this VM heard of the store gets old; it starts over when it reads again.
        synced_ = false;
        has_configuration_ = false;
        lost_ = false;
        core_.reads_store = false;
        return step_in(duty_check);
    }
    if (boot_now() >= reread_at_)
    {
        reread_at_ = state::never;
        synced_ = false;
        has_configuration_ = false;
    }
    if (!has_configuration_)
    {
        return read_operators(protocol::store_read::current, {});
    }
    synced_ ? watch() : read_list(protocol::store_read::current, {});
}

// All of a fleet that lost power start together. What may lag is enough to serve by, costs a tenth,
// and what came since is heard from the readers.
void store_reader::learn()
{
    bool const asks_first = core_.is_seed && !is_published_;
    protocol::store_read const kind =
        asks_first ? protocol::store_read::current : protocol::store_read::may_lag;
    core_.version() == 0 ? read_operators(kind, {}) : read_list(kind, {});
}

void store_reader::not_published()
{
    is_published_ = false;
    step_in(core_.is_seed ? unpublished_retry : spread(unpublished_patience));
}

void store_reader::note_duty(bool reads)
{
    if (reads != reads_)
    {
        reads_ = reads;
        core_.log.write(part, reads ? "reading" : "hearing from peers", {},
                        {{"live", static_cast<std::int64_t>(core_.fleet.live(boot_now()))},
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
         { std::exchange(starts_over_, false) ? step() : handler(answer); });
}

// Its revisions are given out again, so a watch that goes on would miss what was written between;
// and it lacks for a while what was written since the copy.
void store_reader::note_era(state::result<fetch_answer> const& answer)
{
    auto const era = answer ? core_.dialect.read_era(answer.value().fields) : std::nullopt;
    if (!era || !history_.begins_era(*era))
    {
        return;
    }
    core_.log.write(
        part, "came back from a copy", {},
        {{"era", static_cast<std::int64_t>(*era)}, {"after", static_cast<std::int64_t>(after_)}});
    synced_ = false;
    has_configuration_ = false;
    starts_over_ = true;
    reread_at_ = boot_now() + rewriting;
    core_.directory.platform_returned(boot_now());
}

void store_reader::place(protocol::store_page& page, protocol::store_read kind)
{
    using protocol::store_read;
    auto const placed = [this, kind](std::uint64_t revision)
    {
        return kind == store_read::current ? history_.position_of(revision)
                                           : history_.lagging(revision);
    };
    for (state::service_member& member : page.members)
    {
        member.revision = placed(member.revision);
    }
    for (protocol::unusable_entry& entry : page.unusable)
    {
        entry.revision = placed(entry.revision);
    }
    for (protocol::zone_order& order : page.orders)
    {
        order.change.order.revision = placed(order.change.order.revision);
    }
    page.revision = kind == store_read::current ? history_.present(page.revision)
                                                : history_.lagging(page.revision);
    page.newest = placed(page.newest);
}

state::result<protocol::store_page> store_reader::page_in(state::result<fetch_answer> const& answer,
                                                          protocol::store_read kind)
{
    if (!is_whole(answer))
    {
        return state::failure{};
    }
    auto page = core_.dialect.read_list(answer.value().body);
    if (page)
    {
        if (kind == protocol::store_read::current)
        {
            history_.note_read(page.value().revision);
        }
        place(page.value(), kind);
    }
    return page;
}

void store_reader::succeeded(protocol::store_read kind)
{
    state::time_point const now = boot_now();
    retry_ = first_retry;
    if (kind == protocol::store_read::may_lag)
    {
        lost_ = false;
        return;
    }
    if (lost_)
    {
        state::time_point const last_known = std::max(last_read_, core_.fleet.platform_read(now));
        bool const may_have_lapsed = now - last_known > lapse_outage;
        core_.log.write(part, "regained", {},
                        {{"outage_ms", whole_milliseconds(now - last_read_)},
                         {"fleet_outage_ms", whole_milliseconds(now - last_known)}});
        if (may_have_lapsed)
        {
            core_.directory.platform_returned(now);
        }
        lost_ = false;
    }
    last_read_ = now;
    core_.platform_read = now;
    ++core_.store_reads;
    core_.reads_store = core_.fleet.is_reader();
}

state::duration store_reader::spread(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> of{time.count() / 2, time.count()};
    return state::duration{of(core_.random)};
}

std::size_t store_reader::others_asking() const
{
    state::time_point const now = boot_now();
    return core_.informed() ? core_.fleet.lost_peers(now) : core_.fleet.live(now) - 1;
}

void store_reader::failed(std::string_view what, state::result<fetch_answer> const& answer)
{
    core_.metrics.add(forward_count::platform_failures);
    if (!lost_)
    {
        lost_ = true;
        core_.log.write(
            part, "lost", {},
            {{"call", what},
             {"detail", answer ? std::to_string(answer.value().status) : answer.error().detail}});
    }
    step_in(spread(retry_));
    auto const sharing =
        static_cast<std::int64_t>(std::max<std::size_t>(1, others_asking() / askers));
    retry_ = std::min({retry_ * 2, longest_retry * sharing, longest_shared_retry});
}

void store_reader::read_operators(protocol::store_read kind, std::string const& page)
{
    if (page.empty())
    {
        operators_ = {};
    }
    read(core_.dialect.operators_target(kind, page), answer_time,
         [this, kind](state::result<fetch_answer> const& answer)
         {
             if (answer && answer.value().status == not_found)
             {
                 return not_published();
             }
             auto answered = page_in(answer, kind);
             if (!answered)
             {
                 return failed("configuration", answer);
             }
             succeeded(kind);
             add_page(operators_, std::move(answered).value());
             operators_.next_page.empty() ? take_operators(kind)
                                          : read_operators(kind, operators_.next_page);
         });
}

void store_reader::take_operators(protocol::store_read kind)
{
    if (operators_.configuration.empty())
    {
        return not_published();
    }
    core_.take_evacuations(evacuations_in(operators_, kind), part);
    if (kind == protocol::store_read::current)
    {
        has_configuration_ = core_.informed();
        after_ = state::revision_in(operators_.revision);
    }
    bool const is_newer = core_.take_configuration(std::move(operators_.configuration), part);
    if (is_newer && kind == protocol::store_read::current)
    {
        core_.configuration_read();
    }
    step();
}

void store_reader::read_once(std::function<void()> otherwise)
{
    if (std::exchange(reading_once_, true))
    {
        return;
    }
    auto const timer = std::make_shared<net::steady_timer>(core_.context);
    std::uniform_int_distribution<std::int64_t> spread{0, read_once_spread.count()};
    timer->expires_after(state::duration{spread(core_.random)});
    timer->async_wait(
        [this, timer, otherwise = std::move(otherwise)](boost::system::error_code error)
        {
            if (!error)
            {
                read_newer(protocol::store_read::may_lag, otherwise);
            }
        });
}

// A read that may lag costs a tenth, and nearly always has what a peer already follows.
void store_reader::read_newer(protocol::store_read kind, std::function<void()> const& otherwise)
{
    call(core_.dialect.operators_target(kind, {}), answer_time,
         [this, kind, otherwise](state::result<fetch_answer> const& answer)
         {
             auto const page = is_whole(answer)
                                   ? core_.dialect.read_list(answer.value().body)
                                   : state::result<protocol::store_page>{state::failure{}};
             bool const is_newer =
                 page && core_.take_configuration(page.value().configuration, part);
             if (!is_newer && page && kind == protocol::store_read::may_lag)
             {
                 return read_newer(protocol::store_read::current, otherwise);
             }
             reading_once_ = false;
             if (!is_newer)
             {
                 core_.metrics.add(forward_count::platform_failures);
                 otherwise();
             }
         });
}

void store_reader::read_list(protocol::store_read kind, std::string const& page)
{
    if (page.empty())
    {
        listed_.clear();
        unusable_.clear();
        list_revision_ = 0;
    }
    read(core_.dialect.list_target(kind, page), answer_time,
         [this, kind](state::result<fetch_answer> const& answer)
         {
             auto const answered = page_in(answer, kind);
             if (!answered)
             {
                 return failed("list", answer);
             }
             succeeded(kind);
             protocol::store_page const& read = answered.value();
             // Pages are not one snapshot: changes since the first are heard from the watch.
             list_revision_ = list_revision_ == 0 ? read.revision : list_revision_;
             listed_.insert(listed_.end(), read.members.begin(), read.members.end());
             unusable_.insert(unusable_.end(), read.unusable.begin(), read.unusable.end());
             if (!read.next_page.empty())
             {
                 return read_list(kind, read.next_page);
             }
             take_list(kind);
         });
}

void store_reader::take_list(protocol::store_read kind)
{
    std::size_t const untold = core_.untold.size();
    // What a store that came back from a copy lacks may be written again; what it still lacks when
    // it is read once more is gone.
    bool const is_complete = reread_at_ == state::never;
    core_.take_list(listed_, unusable_, is_complete ? list_revision_ : 0, part);
    if (kind == protocol::store_read::may_lag)
    {
        auto const begin = core_.untold.begin() + static_cast<std::ptrdiff_t>(untold);
        core_.untold_of_start.assign(begin, core_.untold.end());
        core_.untold.resize(untold);
    }
    if (kind == protocol::store_read::current)
    {
        synced_ = true;
        // The configuration was read first; what came between is heard from the watch.
        after_ = std::min(after_, state::revision_in(list_revision_));
    }
    step();
}

void store_reader::watch()
{
    read(core_.dialect.watch_target(after_, watch_wait), watch_wait + answer_time,
         [this](state::result<fetch_answer> const& answer)
         {
             if (answer && answer.value().status == gone)
             {
                 core_.log.write(part, "history dropped", {},
                                 {{"after", static_cast<std::int64_t>(after_)}});
                 synced_ = false;
                 has_configuration_ = false;
                 return step();
             }
             auto page = is_whole(answer) ? core_.dialect.read_changes(answer.value().body)
                                          : state::result<protocol::store_page>{state::failure{}};
             if (!page)
             {
                 return failed("watch", answer);
             }
             succeeded(protocol::store_read::current);
             after_ = std::max(after_, page.value().revision);
             place(page.value(), protocol::store_read::current);
             bool const is_newer = !page.value().configuration.empty() &&
                                   core_.take_configuration(page.value().configuration, part);
             if (is_newer)
             {
                 core_.configuration_read();
             }
             core_.follow_evacuations(page.value().orders, page.value().revision, part);
             if (!page.value().orders.empty())
             {
                 core_.evacuations_read();
             }
             core_.take_members(page.value().members, part);
             core_.take_unusable(page.value().unusable, part);
             step_in(watch_pause);
         });
}

} // namespace plumdale::transport
