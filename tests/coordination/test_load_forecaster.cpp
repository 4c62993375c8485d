#include "policy_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumdale::coordination;
using namespace plumdale::coordination::testing;

namespace
{

struct forecaster_fixture
{
    length_estimator lengths{100};
    load_forecaster forecaster{lengths};
    upstream_gauge gauge;

    /// \brief Opens an own stream that holds `held` tokens from `now` on.
    stream_load hold(double held, plumdale::state::time_point now)
    {
        load_forecast forecast;
        forecast.mean = {held, held, held};
        stream_load const load = load_forecaster::rounded(held, forecast);
        gauge.in_flight.fetch_add(1);
        load_forecaster::update_gauge(gauge, {}, load, now);
        return load;
    }
};

} // namespace

TEST_CASE("own streams count once, whether or not the report includes them", "[load_forecaster]")
{
    forecaster_fixture f;
    report(f.gauge, 100, 2, at(0)); // 1,600 tokens of others.
    f.hold(800, at(0.5));
    CHECK(f.forecaster.forecast(f.gauge, at(0.6)).held == Approx(2400));
    report(f.gauge, 150, 3, at(1)); // Now the report includes the own stream.
    CHECK(f.forecaster.forecast(f.gauge, at(1.5)).held == Approx(2400));
    CHECK(f.forecaster.forecast(f.gauge, at(1.5)).batch == Approx(3));
}

// Guards against a forecast that falls to zero when an engine's reports are lost for minutes: own
// streams are counted without reports, and the others' part stays unchanged.
TEST_CASE("a lost report leaves own streams exact and the others' part unchanged",
          "[load_forecaster]")
{
    forecaster_fixture f;
    report(f.gauge, 100, 2, at(0));
    for (int i = 0; i < 10; ++i)
    {
        f.hold(1000, at(1 + 0.2 * i));
    }
    CHECK(f.forecaster.forecast(f.gauge, at(3)).held == Approx(11'600));
}

TEST_CASE("a wrong report can't make the others' part negative or exceed the memory",
          "[load_forecaster]")
{
    forecaster_fixture f;
    f.hold(5000, at(0));
    report(f.gauge, 0, 0, at(1));
    CHECK(f.forecaster.forecast(f.gauge, at(1.2)).held == Approx(5000));
    report(f.gauge, 1'000'000, 4'000'000, at(1.5));
    CHECK(f.forecaster.forecast(f.gauge, at(1.6)).held <= 5000 + 65'536);
}

TEST_CASE("the forecast widens with the age of the report", "[load_forecaster]")
{
    forecaster_fixture f;
    upstream_view view;
    view.gauge = std::shared_ptr<upstream_gauge>(&f.gauge, [](upstream_gauge*) {});
    upstream_view const* const engines[] = {&view};
    report(f.gauge, 2000, 20, at(0));
    for (int i = 0; i < 50; ++i)
    {
        f.hold(500, at(0.1 * i));
        f.gauge.dispatched.fetch_add(1);
        f.forecaster.refresh(engines, 8, std::chrono::seconds{20}, at(0.1 * i));
    }
    auto const fresh = f.forecaster.forecast(f.gauge, at(0.2));
    auto const late = f.forecaster.forecast(f.gauge, at(5));
    CHECK(late.load.variance[2] > fresh.load.variance[2]);
}

TEST_CASE("an ended stream leaves nothing behind", "[load_forecaster]")
{
    forecaster_fixture f;
    report(f.gauge, 0, 0, at(0));
    stream_load const load = f.hold(700, at(1));
    f.gauge.in_flight.fetch_sub(1);
    load_forecaster::update_gauge(f.gauge, load, {}, at(2));
    auto const forecast = f.forecaster.forecast(f.gauge, at(2));
    CHECK(forecast.held == 0);
    CHECK(forecast.load.mean[2] == 0);
}

TEST_CASE("the history returns what was held at the time of a late report", "[own_load_history]")
{
    own_load_history history;
    CHECK(history.at(at(1), at(2), {9, 9}).tokens == 0);
    history.note(at(1), {100, 1});
    history.note(at(2), {300, 3});
    CHECK(history.at(at(1.5), at(2.2), {300, 3}).tokens == 100);
    CHECK(history.at(at(2.1), at(2.2), {300, 3}).streams == 3);
    CHECK(history.at(at(0.5), at(2.2), {300, 3}).tokens == 0);
    // Before the oldest sample, the current figures are the best estimate.
    CHECK(history.at(at(2), at(60), {42, 1}).tokens == 42);
}
