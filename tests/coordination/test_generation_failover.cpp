#include "played_generation.hpp"

#include <plumdale/coordination/generation_failover.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key source{1};
constexpr state::member_key first_choice{2};
constexpr state::member_key second_choice{3};
constexpr state::time_point start{100s};

std::optional<state::member_key> choose(state::member_key /*source*/,
                                        std::span<state::member_key const> excluded)
{
    for (state::member_key const each : {first_choice, second_choice})
    {
        if (std::find(excluded.begin(), excluded.end(), each) == excluded.end())
        {
            return each;
        }
    }
    return std::nullopt;
}

std::size_t resumptions_in(failover_actions const& actions)
{
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [](auto const& each) { return std::holds_alternative<resume_generation>(each); }));
}

template <class Action>
Action const* last(failover_actions const& actions)
{
    return actions.empty() ? nullptr : std::get_if<Action>(&actions.back());
}

/// \brief The stream ends, and the order to stop, or one that was given before, finds that its
/// upstream refuses connections.
void end_without_process(generation_failover& failover, state::time_point now,
                         failover_actions& actions)
{
    std::size_t const before = actions.size();
    failover.source_ended(now, actions);
    if (auto const* const order = last<order_copy>(actions))
    {
        CHECK((order->last || actions.size() == before));
        failover.copy_refused(copy_refusal::process_gone, {}, now, actions);
    }
}

} // namespace

TEST_CASE("a generation is copied while it runs, stopped by a last copy, and resumed elsewhere",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK_FALSE(last<order_copy>(actions)->last);
    CHECK(last<order_copy>(actions)->destination == first_choice);

    failover.copied("h1", start + 200ms, actions);
    CHECK(failover.next_deadline() == start + 1s);
    failover.advance(start + 1s, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);

    failover.copied("h2", start + 1'010ms, actions);
    failover.source_ended(start + 1'012ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->at == first_choice);
    CHECK(last<resume_generation>(actions)->holder == source);
    CHECK(last<resume_generation>(actions)->handle == "h2");
    failover.resumed(start + 1'050ms);
    CHECK(failover.source() == first_choice);
    CHECK_FALSE(failover.is_suspended());
}

// The upstream announced when it will be gone. Its generations run until then, so the caller's
// pause is only the time to prefill the few tokens since the refresh.
TEST_CASE("a copy is refreshed before a known departure without stopping the generation",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({start + 1s, start + 2s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    CHECK(failover.next_deadline() == start + 1s);
    failover.advance(start + 1s, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK_FALSE(last<order_copy>(actions)->last);
    failover.copied("h2", start + 1'010ms, actions);
    CHECK(failover.next_deadline() == start + 2s);
    end_without_process(failover, start + 1'200ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->handle == "h2");
}

// The upstream is gone before it answers the refresh, or refuses it: the previous copy is used.
TEST_CASE("a failed refresh leaves the previous copy in use", "[generation_failover]")
{
    bool const answers = GENERATE(false, true);
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({start + 1s, start + 2s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.advance(start + 1s, actions);
    if (answers)
    {
        failover.copy_refused(copy_refusal::no_capacity, {}, start + 1'010ms, actions);
        CHECK(failover.next_deadline() == start + 2s);
    }
    end_without_process(failover, start + 1'200ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->handle == "h1");
}

// An upstream still runs after its announced departure: its generations are moved to another one.
TEST_CASE("an upstream past its announced departure gets an order for a last copy",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({start + 1s, start + 2s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.advance(start + 1s, actions);
    failover.copied("h2", start + 1'010ms, actions);
    failover.advance(start + 2s, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);
}

// The draft is still in the queue of its upstream, so the order to copy finds no such generation.
// The order is repeated until the generation has begun.
TEST_CASE("a generation that has not begun is copied once it begins", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copy_refused(copy_refusal::unknown_generation, {}, start, actions);
    failover.advance(start + generation_failover::copy_retry_delay, actions);
    CHECK(actions.size() == 2);
    CHECK(last<order_copy>(actions)->destination == first_choice);
}

TEST_CASE("a destination without capacity is replaced by another", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copy_refused(copy_refusal::no_capacity, {}, start, actions);
    failover.advance(start + generation_failover::copy_retry_delay, actions);
    CHECK(last<order_copy>(actions)->destination == second_choice);
}

// The upstream crashes before its announced departure, between the first and the last copy. The
// first copy holds all but the newest tokens; without it the caller's draft would be cut off.
TEST_CASE("after a crash the generation resumes from its first copy", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    end_without_process(failover, start + 300ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->handle == "h1");
    CHECK(last<resume_generation>(actions)->former.proof() == send_proof::process_gone);
}

TEST_CASE("a crash without copy or backup ends the generation", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    end_without_process(failover, start, actions);
    CHECK(last<abandon_generation>(actions) != nullptr);
}

TEST_CASE("a generation with a backup is not copied on a notice and survives a crash",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover.set_backup(second_choice);
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    CHECK(actions.empty());
    end_without_process(failover, start + 1s, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->at == second_choice);
    CHECK(last<resume_generation>(actions)->handle.empty());
}

// Source and backup are reclaimed together. A generation that relied on its backup would be cut
// off, so it is copied as soon as the backup's notice is received.
TEST_CASE("a generation whose backup leaves too is copied", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover.set_backup(second_choice);
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.backup_leaves(second_choice, start, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->destination == first_choice);
}

TEST_CASE("a last copy refused for capacity leaves the memory at the source",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start}, start, actions);
    failover.copied("h1", start, actions);
    failover.advance(start, actions);
    failover.copy_refused(copy_refusal::no_capacity, "h2", start + 5ms, actions);
    failover.source_ended(start + 6ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->at == source);
    CHECK(last<resume_generation>(actions)->handle == "h2");
}

namespace
{

/// \brief A generation that its source stopped for a last copy; its resumption was just ordered.
generation_failover stopped_generation(failover_actions& actions)
{
    generation_failover failover{source, {choose}};
    failover.source_leaves({state::never, start}, start, actions);
    failover.copied("h1", start, actions);
    failover.advance(start, actions);
    failover.copied("h2", start, actions);
    failover.source_ended(start, actions);
    return failover;
}

} // namespace

// Guards against a caller who loses a draft after a few tries within moments, though its memory is
// held for seconds.
TEST_CASE("a refused resumption is retried wherever memory is held, until its lifetime is over",
          "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = stopped_generation(actions);
    state::time_point now = start;
    std::vector<state::member_key> tried;
    while (last<resume_generation>(actions) != nullptr)
    {
        tried.push_back(last<resume_generation>(actions)->at);
        failover.resume_refused(now, actions);
        now = failover.next_deadline();
        REQUIRE(now < start + 12s);
        failover.advance(now, actions);
    }
    REQUIRE(tried.size() >= 4);
    CHECK(std::vector(tried.begin(), tried.begin() + 4) ==
          std::vector{first_choice, source, first_choice, source});
    REQUIRE(last<abandon_generation>(actions) != nullptr);
    CHECK(last<abandon_generation>(actions)->reason == abandon_reason::expired);
    CHECK(now >= start + 10s);
    // Each costs a repeat.
    CHECK(tried.size() < 50);
}

// Guards against tries that are spent on upstreams which were not asked anything.
TEST_CASE("a resumption goes on after any number of unsent ones", "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = stopped_generation(actions);
    state::time_point now = start;
    while (now < start + 5s)
    {
        REQUIRE(last<resume_generation>(actions) != nullptr);
        failover.resume_unsent(now, actions);
        now = failover.next_deadline();
        REQUIRE(now < start + 6s);
        failover.advance(now, actions);
    }
    failover.resumed(now);
    CHECK_FALSE(failover.is_suspended());
}

// Guards against a run that is stopped with nowhere to go on, or no repeat for it.
TEST_CASE("a run is ordered to stop only when its resumption is secured", "[generation_failover]")
{
    bool is_reserved = false;
    bool takes_runs = true;
    move_rules rules{choose};
    rules.reserve_resumption = [&is_reserved](bool)
    {
        return is_reserved;
    };
    rules.takes_runs = [&takes_runs](state::member_key at)
    {
        return at != first_choice || takes_runs;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    actions.clear();
    state::time_point now = start + 1s;
    for (; now < start + 4s; now = failover.next_deadline())
    {
        failover.advance(now, actions);
        if (auto const* const order = last<order_copy>(actions))
        {
            // The copy is renewed before its lifetime is over.
            CHECK_FALSE(order->last);
            actions.clear();
            failover.copied("h1", now, actions);
        }
    }
    CHECK(actions.empty());
    takes_runs = false;
    failover.advance(now, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK_FALSE(last<order_copy>(actions)->last);
    CHECK(last<order_copy>(actions)->destination == second_choice);
    failover.copied("h2", now, actions);
    is_reserved = true;
    failover.advance(failover.next_deadline(), actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);
    CHECK(last<order_copy>(actions)->destination == second_choice);
}

// Guards against a run that is never moved as the last of several repeats can't be had.
TEST_CASE("a stop is put off for a further repeat for a moment only", "[generation_failover]")
{
    move_rules rules{choose};
    rules.reserve_resumption = [](bool is_urgent)
    {
        return is_urgent;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    actions.clear();
    state::time_point now = start + 1s;
    for (; actions.empty(); now = failover.next_deadline())
    {
        REQUIRE(now < start + 2s);
        failover.advance(now, actions);
    }
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);
}

// Guards against a caller who waits for upstreams that take nothing any more.
TEST_CASE("a generation that only leaving upstreams hold is given up at once",
          "[generation_failover]")
{
    bool may_resume = true;
    bool takes_runs = true;
    move_rules rules{choose};
    rules.may_resume_at = [&may_resume](state::member_key)
    {
        return may_resume;
    };
    rules.takes_runs = [&takes_runs](state::member_key)
    {
        return takes_runs;
    };
    rules.has_left = [&takes_runs](state::member_key)
    {
        return !takes_runs;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_leaves({state::never, start}, start, actions);
    failover.copied("h1", start, actions);
    failover.advance(start, actions);
    failover.copied("h2", start, actions);
    may_resume = false;
    failover.source_ended(start, actions);
    CHECK(last<abandon_generation>(actions) == nullptr);
    takes_runs = false;
    failover.advance(failover.next_deadline(), actions);
    REQUIRE(last<abandon_generation>(actions) != nullptr);
    CHECK(last<abandon_generation>(actions)->reason == abandon_reason::held_by_leaving);
}

// The place of the copy leaves within the same notice. Guards against a copy that is replaced only
// once the source is to be stopped.
TEST_CASE("a copy goes elsewhere as soon as its place leaves", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.destination_leaves(first_choice, start + 300ms, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->destination == second_choice);
    // The first copy is used where the second isn't complete in time.
    end_without_process(failover, start + 400ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->at == first_choice);
}

// Its stream broke, and its memory fits nowhere. Guards against a caller who waits in vain for an
// upstream that nobody asks.
TEST_CASE("a source whose memory fits nowhere is ordered to stop all the same",
          "[generation_failover]")
{
    move_rules rules;
    rules.select_destination = [](state::member_key, std::span<state::member_key const>)
    {
        return std::optional<state::member_key>{};
    };
    rules.any_destination = [](state::member_key)
    {
        return std::optional{second_choice};
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_ended(start, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);
    SECTION("its process is gone")
    {
        failover.copy_refused(copy_refusal::process_gone, {}, start + 1ms, actions);
        REQUIRE(last<abandon_generation>(actions) != nullptr);
        CHECK(last<abandon_generation>(actions)->reason == abandon_reason::nothing_held);
    }
    SECTION("it stopped, and keeps the memory")
    {
        failover.copy_refused(copy_refusal::no_capacity, "h", start + 1ms, actions);
        REQUIRE(last<resume_generation>(actions) != nullptr);
        CHECK(last<resume_generation>(actions)->at == source);
    }
}

// Guards against a first order's late answer that is not used as another one was given meanwhile.
TEST_CASE("a late answer to an earlier order to stop names the memory", "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover{source, {choose}};
    failover.source_ended(start, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    failover.advance(start + generation_failover::stop_answer_delay, actions);
    REQUIRE(actions.size() == 2);
    CHECK(last<order_copy>(actions)->destination == first_choice);
    failover.copy_refused(copy_refusal::unknown_generation, {}, start + 3s, actions);
    CHECK(last<abandon_generation>(actions) == nullptr);
    failover.copied("h1", start + 4s, actions);
    failover.advance(failover.next_deadline(), actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->handle == "h1");
}

TEST_CASE("an unused copy is released", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start, actions);
    failover.finished(actions);
    REQUIRE(last<release_copy>(actions) != nullptr);
    CHECK(last<release_copy>(actions)->handle == "h1");
}

// Any order of answers, broken streams, timers and notices, where answers tell the truth. Guards
// against a generation that goes on while its former upstream may work on it.
TEST_CASE("no order of events resumes a generation that is still running",
          "[generation_failover][seeds]")
{
    std::size_t resumed = 0;
    for (std::uint32_t seed = 1; seed <= 10'000; ++seed)
    {
        CAPTURE(seed);
        test::played_generation played{seed};
        for (int step = 0; step < 60 && !played.has_ended(); ++step)
        {
            played.step();
            REQUIRE(played.most_runs() <= 1);
        }
        resumed += played.resumptions();
    }
    CHECK(resumed > 5'000);
}

namespace
{

generation_failover given_up_with_backup(failover_actions& actions)
{
    generation_failover failover{source, {choose}};
    failover.set_backup(second_choice);
    failover.source_ended(start, actions);
    REQUIRE(actions.size() == 1);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->source == source);
    CHECK(last<order_copy>(actions)->destination == second_choice);
    CHECK(last<order_copy>(actions)->last);
    return failover;
}

} // namespace

// Guards against two upstreams at work on one generation: this VM closed a spoiled stream, and its
// upstream, which doesn't look at that, worked on beside the backup.
TEST_CASE("a generation whose stream was given up goes on once its source has stopped it",
          "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = given_up_with_backup(actions);
    SECTION("it stopped and copied")
    {
        failover.copied("h", start + 100ms, actions);
        REQUIRE(last<resume_generation>(actions) != nullptr);
        CHECK(last<resume_generation>(actions)->at == second_choice);
        CHECK(last<resume_generation>(actions)->handle == "h");
    }
    SECTION("it stopped and kept the memory")
    {
        failover.copy_refused(copy_refusal::no_capacity, "h", start + 100ms, actions);
        REQUIRE(last<resume_generation>(actions) != nullptr);
        CHECK(last<resume_generation>(actions)->at == source);
    }
    SECTION("it runs nothing")
    {
        failover.copy_refused(copy_refusal::unknown_generation, {}, start + 5ms, actions);
        REQUIRE(last<resume_generation>(actions) != nullptr);
        CHECK(last<resume_generation>(actions)->holder == second_choice);
        CHECK(last<resume_generation>(actions)->handle.empty());
    }
    SECTION("its process is gone")
    {
        failover.copy_refused(copy_refusal::process_gone, {}, start + 5ms, actions);
        CHECK(last<resume_generation>(actions) != nullptr);
    }
    SECTION("it states a later start")
    {
        failover.source_gone(*run_ended::by(send_proof::restarted), start + 5ms, actions);
        CHECK(last<resume_generation>(actions) != nullptr);
    }
}

// Guards against an answer that ends after a few orders, and against orders without a pause.
TEST_CASE("a source that can't be stopped is ordered again while its caller waits",
          "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = given_up_with_backup(actions);
    auto const reason = GENERATE(copy_refusal::no_capacity, copy_refusal::in_progress,
                                 copy_refusal::rejected, copy_refusal::unreachable);
    constexpr auto patience = 16s;
    state::time_point now = start;
    while (now < start + patience)
    {
        REQUIRE(last<order_copy>(actions) != nullptr);
        CHECK(last<order_copy>(actions)->last);
        failover.copy_refused(reason, {}, now + 5ms, actions);
        now = failover.next_deadline();
        failover.advance(now, actions);
    }
    CHECK(actions.size() > 20);
    CHECK(actions.size() < 32);
    failover.finished(actions);
    CHECK(failover.next_deadline() == state::never);
    CHECK(last<order_copy>(actions) != nullptr);
}

// Load pattern: an upstream that was drained while the store was unreachable has closed its port
// and runs its drafts for another ten seconds, while their callers still receive events. Each order
// to copy is refused at once; repeated every 40 ms, one draft caused 227 orders, each of which is
// reported to all peers twice.
TEST_CASE("orders to an unreachable source are repeated with growing delays",
          "[generation_failover][load]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 10s}, start, actions);
    state::time_point now = start;
    while (now < start + 10s)
    {
        failover.copy_refused(copy_refusal::unreachable, {}, now, actions);
        now = failover.next_deadline();
        failover.advance(now, actions);
    }
    auto const orders =
        std::count_if(actions.begin(), actions.end(),
                      [](auto const& each) { return std::holds_alternative<order_copy>(each); });
    CHECK(orders <= 25);
    CHECK(orders >= 15);

    // A copy that succeeds later is used.
    failover.copied("h1", now, actions);
    end_without_process(failover, now, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
}

// Load pattern: all destinations are full at the notice, and drafts there end within it. Guards
// against a generation that is given up while room may still come.
TEST_CASE("a first copy waits for a destination where it fits", "[generation_failover][load]")
{
    bool const may_wait = GENERATE(false, true);
    std::optional<state::member_key> room;
    generation_failover failover{source,
                                 {[&room](auto, auto)
                                  {
                                      return room;
                                  }}};
    copy_schedule times{start + 1s, start + 2s};
    if (may_wait)
    {
        times.first = first_copy_times{start, start + 1s};
    }
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    failover.advance(start + generation_failover::destination_retry_delay, actions);
    CHECK(actions.empty());
    room = first_choice;
    failover.advance(start + 2 * generation_failover::destination_retry_delay, actions);
    CHECK((last<order_copy>(actions) != nullptr) == may_wait);
}

// Load pattern: destinations fill between the decision and the order, more of them than are tried
// for a copy that may not wait.
TEST_CASE("a first copy whose destinations fill is ordered elsewhere",
          "[generation_failover][load]")
{
    bool const may_wait = GENERATE(false, true);
    std::vector<state::member_key> destinations;
    generation_failover failover{source,
                                 {[](auto, auto excluded)
                                  {
                                      return state::member_key{excluded.size() + 1};
                                  }}};
    copy_schedule times{start + 20s, start + 30s};
    if (may_wait)
    {
        times.first = first_copy_times{start, start + 10s};
    }
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    state::time_point now = start;
    for (int refusals = 0; refusals < 5; ++refusals)
    {
        failover.copy_refused(copy_refusal::no_capacity, {}, now, actions);
        now = std::min(failover.next_deadline(), start + 9s);
        failover.advance(now, actions);
    }
    CHECK(actions.size() == (may_wait ? 6 : 4));
}

// Guards against orders of all generations at once over one link: those with less to lose go later,
// and none waits for a copy that could not be complete.
TEST_CASE("a first copy waits for its turn and not beyond its last chance", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    copy_schedule times{start + 1s, start + 2s};
    times.first = first_copy_times{start + 300ms, start + 900ms};
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    CHECK(actions.empty());
    CHECK(failover.next_deadline() == start + 300ms);
    failover.advance(start + 300ms, actions);
    CHECK(actions.size() == 1);

    generation_failover late{source,
                             {[](auto, auto)
                              {
                                  return std::optional<state::member_key>{};
                              }}};
    late.source_leaves(times, start, actions);
    late.advance(start + 900ms, actions);
    CHECK(late.next_deadline() == state::never);
    CHECK(actions.size() == 1);
}

// Guards against a turn that comes after the upstream is gone, as its report tells an earlier
// departure than its notice allowed.
TEST_CASE("a turn moves forward when the departure is nearer than expected",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    copy_schedule times{start + 1s, start + 2s};
    times.first = first_copy_times{start + 300ms, start + 900ms};
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    times.first = first_copy_times{start + 100ms, start + 150ms};
    failover.source_leaves(times, start + 50ms, actions);
    CHECK(failover.next_deadline() == start + 100ms);
}

// Guards against a wait after refusals that outlasts the last chance to copy.
TEST_CASE("a refused copy is ordered once more at its last chance", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    copy_schedule times{start + 1s, start + 2s};
    times.first = first_copy_times{start, start + 500ms};
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    failover.copy_refused(copy_refusal::no_capacity, {}, start + 480ms, actions);
    CHECK(failover.next_deadline() == start + 500ms);
    failover.copy_refused(copy_refusal::no_capacity, {}, start + 500ms, actions);
    CHECK(failover.next_deadline() == state::never);
}

// Guards against searches in vain until the departure once each destination has refused.
TEST_CASE("a destination that refused earlier may be asked again", "[generation_failover]")
{
    std::size_t most_excluded = 0;
    generation_failover failover{source,
                                 {[&most_excluded](auto, auto excluded)
                                  {
                                      most_excluded = std::max(most_excluded, excluded.size());
                                      return state::member_key{excluded.back().value + 1};
                                  }}};
    copy_schedule times{start + 20s, start + 30s};
    times.first = first_copy_times{start, start + 10s};
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    state::time_point now = start;
    for (int refusals = 0; refusals < 8; ++refusals)
    {
        failover.copy_refused(copy_refusal::no_capacity, {}, now, actions);
        now = failover.next_deadline();
        failover.advance(now, actions);
    }
    CHECK(most_excluded == 1 + generation_failover::max_destinations);
}

// A generation that its upstream ended while the stream's end was delayed is unknown there. Guards
// against an order each 40 ms until the stream's end arrives.
TEST_CASE(
    "orders of an unknown generation are repeated with growing delays where copies are fitted",
    "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    copy_schedule times{start + 20s, start + 30s};
    times.first = first_copy_times{start, start + 10s};
    failover_actions actions;
    failover.source_leaves(times, start, actions);
    state::time_point now = start;
    while (now < start + 5s)
    {
        failover.copy_refused(copy_refusal::unknown_generation, {}, now, actions);
        now = failover.next_deadline();
        failover.advance(now, actions);
    }
    CHECK(actions.size() <= 13);
}

// Guards against a run in the queue of an upstream that an order to stop doesn't see.
TEST_CASE("a resumption without an event is not sent again while its upstream knows no run",
          "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = given_up_with_backup(actions);
    failover.copy_refused(copy_refusal::process_gone, {}, start, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    std::size_t const resumptions = resumptions_in(actions);
    failover.source_ended(start + 10ms, actions);
    state::time_point now = start + 10ms;
    while (now < start + 10s)
    {
        REQUIRE(last<order_copy>(actions) != nullptr);
        CHECK(last<order_copy>(actions)->source == second_choice);
        failover.copy_refused(copy_refusal::unknown_generation, {}, now, actions);
        now = failover.next_deadline();
        failover.advance(now, actions);
    }
    CHECK(resumptions_in(actions) == resumptions);
    CHECK(last<abandon_generation>(actions) == nullptr);
}

// Guards against a wait that is taken for an answer.
TEST_CASE("an order to stop that is not answered moves nothing", "[generation_failover]")
{
    failover_actions actions;
    generation_failover failover = given_up_with_backup(actions);
    CHECK(failover.next_deadline() == start + generation_failover::stop_answer_delay);
    failover.advance(start + 1h, actions);
    CHECK(actions.size() == 2);
    CHECK(last<order_copy>(actions) != nullptr);
}

// Guards against an answer that breaks off although its upstream could be asked for the memory.
TEST_CASE("a cut generation without a backup is stopped and goes on elsewhere",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_ended(start, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK(last<order_copy>(actions)->last);
    failover.copied("h", start + 100ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    CHECK(last<resume_generation>(actions)->at == first_choice);
    CHECK(last<resume_generation>(actions)->former.proof() == send_proof::stopped);
}

// -- answers to orders that come late -------------------------------------------------------------

namespace
{

/// \brief Two orders to stop are open, the stream has ended, and the second finds no run: the
/// generation is being resumed at its first copy.
void resume_with_a_stop_open(generation_failover& failover, failover_actions& actions)
{
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.advance(start + 1s, actions);
    failover.source_ended(start + 1'005ms, actions);
    failover.advance(start + 1s + generation_failover::stop_answer_delay, actions);
    failover.copy_refused(copy_refusal::unknown_generation, {}, start + 3'600ms, actions);
    REQUIRE(last<resume_generation>(actions) != nullptr);
    REQUIRE(last<resume_generation>(actions)->at == first_choice);
}

} // namespace

// Guards against memory that is asked for under the name of an upstream that never issued it.
TEST_CASE("an order answered after a refused resumption names its own source",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    resume_with_a_stop_open(failover, actions);
    failover.resume_refused(start + 3'610ms, actions);
    failover.copied("h2", start + 3'620ms, actions);
    std::set<state::member_key> asked;
    for (state::time_point now = start + 4s; now < start + 8s; now += 2s)
    {
        failover.advance(now, actions);
        REQUIRE(last<resume_generation>(actions) != nullptr);
        CHECK(last<resume_generation>(actions)->handle == "h2");
        CHECK(last<resume_generation>(actions)->holder == source);
        asked.insert(last<resume_generation>(actions)->at);
        failover.resume_refused(now, actions);
    }
    CHECK(asked == std::set<state::member_key>{source, first_choice});
}

// Guards against a caller that is cut as the answer that named the memory came during a resumption.
TEST_CASE("an order answered during a resumption that is refused names the memory",
          "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    resume_with_a_stop_open(failover, actions);
    failover.copied("h2", start + 3'605ms, actions);
    failover.resume_refused(start + 3'610ms, actions);
    bool is_asked = false;
    for (state::time_point now = start + 4s; now < start + 12s; now += 2s)
    {
        failover.advance(now, actions);
        if (last<resume_generation>(actions) != nullptr)
        {
            is_asked = is_asked || last<resume_generation>(actions)->handle == "h2";
            failover.resume_refused(now, actions);
        }
    }
    CHECK(is_asked);
}

// Guards against a generation that waits for answers to orders that were all answered.
TEST_CASE("an order that is refused during a resumption is answered", "[generation_failover]")
{
    bool is_known = true;
    move_rules rules{choose};
    rules.may_resume_at = rules.takes_runs = [&is_known](state::member_key)
    {
        return is_known;
    };
    rules.has_left = [&is_known](state::member_key)
    {
        return !is_known;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    resume_with_a_stop_open(failover, actions);
    failover.copy_refused(copy_refusal::unknown_generation, {}, start + 3'605ms, actions);
    failover.resume_refused(start + 3'610ms, actions);
    is_known = false;
    failover.advance(start + 4s, actions);
    CHECK(last<abandon_generation>(actions) != nullptr);
}

// Guards against a draft that stays at its leaving source as one place without room is asked again
// and again.
TEST_CASE("a copy whose place leaves goes to a further one if the next has no room",
          "[generation_failover]")
{
    static constexpr state::member_key third_choice{4};
    move_rules rules;
    rules.select_destination = [](state::member_key, std::span<state::member_key const> excluded)
    {
        for (state::member_key const each : {first_choice, second_choice, third_choice})
        {
            if (std::find(excluded.begin(), excluded.end(), each) == excluded.end())
            {
                return std::optional{each};
            }
        }
        return std::optional<state::member_key>{};
    };
    bool leaves = false;
    rules.takes_runs = rules.may_resume_at = [&leaves](state::member_key at)
    {
        return !leaves || at != first_choice;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    leaves = true;
    failover.destination_leaves(first_choice, start + 300ms, actions);
    std::set<state::member_key> asked;
    state::time_point now = start + 310ms;
    for (int i = 0; i < 8; ++i)
    {
        if (auto const* const order = last<order_copy>(actions))
        {
            asked.insert(order->destination);
            failover.copy_refused(copy_refusal::no_capacity, {}, now, actions);
        }
        now = std::max(now, failover.next_deadline());
        failover.advance(now, actions);
    }
    CHECK(asked.contains(third_choice));
}

// Guards against copies that nobody will use and that keep memory for their whole lifetime.
TEST_CASE("a caller that leaves between two upstreams frees the copy", "[generation_failover]")
{
    generation_failover failover{source, {choose}};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.advance(start + 1s, actions);
    failover.copied("h2", start + 1'010ms, actions);
    failover.finished(actions);
    REQUIRE(last<release_copy>(actions) != nullptr);
    CHECK(last<release_copy>(actions)->source == source);
}

// Guards against a run that is stopped for a place that this VM may not ask: it backs off for
// longer than memory is kept, or this VM has no share of the refusals that it bears.
TEST_CASE("a run is not stopped while its copy's place may not be asked", "[generation_failover]")
{
    move_rules rules{choose};
    rules.may_resume_at = [](state::member_key at)
    {
        return at != first_choice;
    };
    rules.takes_runs = [](state::member_key)
    {
        return true;
    };
    generation_failover failover{source, rules};
    failover_actions actions;
    failover.source_leaves({state::never, start + 1s}, start, actions);
    failover.copied("h1", start + 200ms, actions);
    failover.advance(start + 1s, actions);
    REQUIRE(last<order_copy>(actions) != nullptr);
    CHECK_FALSE(last<order_copy>(actions)->last);
}
