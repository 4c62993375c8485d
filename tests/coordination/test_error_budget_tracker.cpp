#include <plumdale/coordination/error_budget_tracker.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace std::chrono_literals;
using coordination::answer_outcome;
using coordination::error_budget_key;
using coordination::error_budget_tracker;
using coordination::event_counts;
using coordination::objective;

namespace
{

constexpr error_budget_key key{state::model_id{1}, state::customer_id{2}};
constexpr std::size_t minute = 0;
constexpr std::size_t hour = 2;

state::time_point at(state::duration time)
{
    return state::time_point{100h + time};
}

event_counts total(error_budget_tracker const& tracker, objective what, std::size_t window,
                   state::time_point now)
{
    auto const report = tracker.report(now);
    REQUIRE(report.size() == 1);
    return report[0].objectives[static_cast<std::size_t>(what)][window].total;
}

} // namespace

TEST_CASE("the burn rate is the bad share divided by the allowed share", "[error_budget_tracker]")
{
    CHECK(coordination::burn_rate({99, 1}, 0.99) == Approx(1.0));
    CHECK(coordination::burn_rate({90, 10}, 0.99) == Approx(10.0));
    CHECK(coordination::burn_rate({0, 0}, 0.99) == 0.0);
}

TEST_CASE("an event expires from the shortest window first", "[error_budget_tracker]")
{
    error_budget_tracker tracker{coordination::error_budget_settings{}};
    tracker.record_first_token(key, 2s, at(0s));
    tracker.record_first_token(key, 100ms, at(1s));
    CHECK(total(tracker, objective::first_token, minute, at(2s)).bad == 1);
    CHECK(total(tracker, objective::first_token, minute, at(2s)).good == 1);
    CHECK(total(tracker, objective::first_token, minute, at(61s)).bad == 0);
    CHECK(total(tracker, objective::first_token, hour, at(61s)).bad == 1);
    CHECK(total(tracker, objective::first_token, hour, at(2h)).bad == 0);
}

TEST_CASE("a slot is cleared before it is reused", "[error_budget_tracker]")
{
    error_budget_tracker tracker{coordination::error_budget_settings{}};
    tracker.record_outcome(key, answer_outcome::broken, at(0s));
    tracker.record_outcome(key, answer_outcome::whole, at(60s));
    CHECK(total(tracker, objective::whole_answer, minute, at(60s)).bad == 0);
    CHECK(total(tracker, objective::whole_answer, minute, at(60s)).good == 1);
}

TEST_CASE("a refusal counts against admission but not against whole answers",
          "[error_budget_tracker]")
{
    error_budget_tracker tracker{coordination::error_budget_settings{}};
    tracker.record_outcome(key, answer_outcome::refused, at(0s));
    tracker.record_outcome(key, answer_outcome::whole, at(0s));
    tracker.record_outcome(key, answer_outcome::broken, at(0s));
    tracker.record_outcome(key, answer_outcome::left, at(0s));
    CHECK(total(tracker, objective::admission, minute, at(0s)).bad == 1);
    CHECK(total(tracker, objective::admission, minute, at(0s)).good == 2);
    CHECK(total(tracker, objective::whole_answer, minute, at(0s)).bad == 1);
    CHECK(total(tracker, objective::whole_answer, minute, at(0s)).good == 1);
}

TEST_CASE("quantiles follow the samples", "[error_budget_tracker]")
{
    error_budget_tracker tracker{coordination::error_budget_settings{}};
    for (int i = 0; i < 10'000; ++i)
    {
        tracker.record_token_gap(key, std::chrono::milliseconds{i * 37 % 1000}, at(0s));
    }
    auto const report = tracker.report(at(0s));
    CHECK(report[0].token_gap.p50 == Approx(500).margin(20));
    CHECK(report[0].token_gap.p99 == Approx(990).margin(10));
}

TEST_CASE("reports of several threads are added up", "[error_budget_tracker]")
{
    error_budget_tracker one{coordination::error_budget_settings{}};
    error_budget_tracker two{coordination::error_budget_settings{}};
    one.record_outcome(key, answer_outcome::whole, at(0s));
    two.record_outcome(key, answer_outcome::broken, at(0s));
    two.record_outcome({state::model_id{1}, state::customer_id{9}}, answer_outcome::whole, at(0s));
    std::array const reports{one.report(at(0s)), two.report(at(0s))};
    auto const merged = coordination::merge(reports);
    REQUIRE(merged.size() == 2);
    auto const& whole = merged[0].objectives[static_cast<std::size_t>(objective::whole_answer)];
    CHECK(whole[minute].total.good == 1);
    CHECK(whole[minute].total.bad == 1);
}

TEST_CASE("the number of rows is bounded when callers name arbitrary services",
          "[error_budget_tracker]")
{
    coordination::error_budget_settings settings;
    settings.max_rows = 3;
    error_budget_tracker tracker{settings};
    for (std::uint64_t service = 1; service <= 100; ++service)
    {
        tracker.record_outcome({state::model_id{service}, state::customer_id{2}},
                               answer_outcome::refused, at(0s));
    }
    auto const report = tracker.report(at(0s));
    CHECK(report.size() == settings.max_rows + 1);
    std::uint64_t counted = 0;
    for (auto const& row : report)
    {
        counted += row.objectives[static_cast<std::size_t>(objective::admission)][0].total.bad;
    }
    CHECK(counted == 100);
}

TEST_CASE("a caller's error uses no error budget", "[error_budget_tracker]")
{
    using state::error_kind;
    CHECK(coordination::answer_outcome_for(error_kind::unknown_model, false) ==
          answer_outcome::left);
    CHECK(coordination::answer_outcome_for(error_kind::unauthenticated, false) ==
          answer_outcome::left);
    CHECK(coordination::answer_outcome_for(error_kind::overloaded, false) ==
          answer_outcome::refused);
    CHECK(coordination::answer_outcome_for(error_kind::over_customer_limit, false) ==
          answer_outcome::refused);
    CHECK(coordination::answer_outcome_for(error_kind::may_have_run, false) ==
          answer_outcome::broken);
    CHECK(coordination::answer_outcome_for(error_kind::interrupted, true) ==
          answer_outcome::broken);
}
