#include <plumdale/coordination/overflow_limit.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;

namespace
{

engine_forecast engine_at(double fill, double batch = 10)
{
    engine_forecast engine;
    engine.capacity = 10'000;
    engine.held = fill * engine.capacity;
    engine.load.mean = {engine.held, engine.held, engine.held};
    engine.batch = batch;
    return engine;
}

load_forecast const small{{100, 100, 100}, {0, 0, 0}};

} // namespace

TEST_CASE("drafts leave capacity for questions, in memory and in the batch", "[overflow_limit]")
{
    overflow_limit limit;
    state::preset preset;
    preset.question_headroom = 0.2;
    limit.configure(preset);
    CHECK(limit.check(engine_at(0.7), small, state::work_kind::draft, 1.0) ==
          capacity_status::free);
    CHECK(limit.check(engine_at(0.85), small, state::work_kind::draft, 1.0) ==
          capacity_status::memory_full);
    CHECK(limit.check(engine_at(0.85), small, state::work_kind::question, 1.0) ==
          capacity_status::free);
    double const last_place = preset.max_batch - 1.0;
    CHECK(limit.check(engine_at(0.1, last_place), small, state::work_kind::draft, 1.0) ==
          capacity_status::batch_full);
    CHECK(limit.check(engine_at(0.1, last_place), small, state::work_kind::question, 1.0) ==
          capacity_status::free);
}

// Guards against refusing questions because drafts are projected to fill the engine in twenty
// seconds: a question ends long before.
TEST_CASE("a question is not held to the drafts' horizon", "[overflow_limit]")
{
    overflow_limit limit;
    limit.configure(state::preset{});
    engine_forecast engine = engine_at(0.7);
    engine.load.mean[2] = 9'900;
    engine.load.variance = {1e6, 1e6, 1e6};
    CHECK(limit.check(engine, small, state::work_kind::question, 1.0) == capacity_status::free);
    CHECK(limit.check(engine, small, state::work_kind::draft, 1.0) == capacity_status::memory_full);
}

TEST_CASE("a stricter chance of overflow keeps more deviations free", "[overflow_limit]")
{
    overflow_limit limit;
    state::preset preset;
    preset.overflow_chance = 0.05;
    limit.configure(preset);
    CHECK(limit.deviations() == Approx(1.645).margin(0.01));
    preset.overflow_chance = 0.005;
    limit.configure(preset);
    CHECK(limit.deviations() == Approx(2.576).margin(0.01));
}

// Guards against a limit that stays above the knee, where preemptions rise tenfold within a few
// percent and stall answers, or far below it, where requests are refused without need. The engine
// modelled here overflows above a limit that is not known beforehand.
TEST_CASE("the limit finds a hidden knee from either side", "[overflow_limit]")
{
    double const knee = GENERATE(0.8, 1.0, 1.2);
    overflow_limit limit;
    limit.configure(state::preset{});
    double preempted = 0.0;
    for (int second = 0; second < 2000; ++second)
    {
        double const preemptions = limit.factor() > knee ? 1.0 : 0.0;
        limit.learn(preemptions, 20.0, 12.0, true);
        preempted += second >= 1000 ? preemptions : 0.0;
    }
    CHECK(limit.factor() == Approx(knee).margin(0.05));
    CHECK(preempted / (1000 * 20.0) < 0.006);
}

TEST_CASE("a limit that no request reaches is unchanged", "[overflow_limit]")
{
    overflow_limit limit;
    limit.configure(state::preset{});
    for (int second = 0; second < 10'000; ++second)
    {
        limit.learn(0.0, 20.0, 12.0, false);
    }
    CHECK(limit.factor() == 1.0);
}

TEST_CASE("a switch of the preset keeps what was learnt", "[overflow_limit]")
{
    overflow_limit limit;
    limit.configure(state::preset{});
    limit.learn(12.0, 20.0, 12.0, true);
    double const learnt = limit.factor();
    state::preset peak;
    peak.max_batch = 32;
    limit.configure(peak);
    CHECK(limit.factor() == learnt);
}
