#include <plumdale/coordination/length_estimator.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace plumdale;
using coordination::length_estimator;

namespace
{

coordination::length_key key_of(std::uint64_t customer)
{
    return {state::customer_id{customer}, state::model_id{1}, state::work_kind::draft};
}

void learn(length_estimator& lengths, std::uint64_t customer, std::uint32_t tokens)
{
    auto const estimate = lengths.open(key_of(customer));
    lengths.advance(estimate, 0, tokens);
    lengths.finish(estimate, tokens);
    lengths.close(estimate);
}

double chance(length_estimator& lengths, std::uint64_t customer, std::uint32_t so_far, double more)
{
    auto const estimate = lengths.open(key_of(customer));
    double const result = lengths.survival(estimate, so_far, more);
    lengths.close(estimate);
    return result;
}

} // namespace

TEST_CASE("the estimate depends on the length so far", "[length_estimator]")
{
    length_estimator lengths{100};
    for (int i = 0; i < 60; ++i)
    {
        learn(lengths, 1, i % 2 == 0 ? 100 : 4000);
    }
    CHECK(chance(lengths, 1, 0, 1000) == Approx(0.5).margin(0.1));
    CHECK(chance(lengths, 1, 500, 1000) > 0.85);
    CHECK(chance(lengths, 1, 500, 6000) < 0.15);
}

TEST_CASE("the estimate follows thirty log-normal answers", "[length_estimator]")
{
    auto const seed = GENERATE(range(1U, 9U));
    std::mt19937 random{seed};
    std::lognormal_distribution<double> draw{7.35, 0.7};
    length_estimator lengths{100};
    for (int i = 0; i < 30; ++i)
    {
        learn(lengths, 1, static_cast<std::uint32_t>(draw(random)));
    }
    // The median is 1,556 tokens; the standard error of a chance of one half over 30 answers is
    // 0.09.
    CHECK(chance(lengths, 1, 0, 1556) == Approx(0.5).margin(0.25));
    CHECK(chance(lengths, 1, 0, 12'000) < 0.15);
}

// Guards against admitting drafts that overflow the engine when a customer's answers suddenly
// become ten times as long. Running outputs count before they end, so the estimate changes while
// the first long ones still run.
TEST_CASE("a sudden shift is learnt within some tens of answers", "[length_estimator]")
{
    length_estimator lengths{100};
    for (int i = 0; i < 500; ++i)
    {
        learn(lengths, 1, 300);
    }
    REQUIRE(chance(lengths, 1, 0, 1000) < 0.05);
    for (int i = 0; i < 60; ++i)
    {
        learn(lengths, 1, 3000);
    }
    CHECK(chance(lengths, 1, 0, 1000) > 0.3);
    CHECK(chance(lengths, 1, 400, 1000) > 0.8);
}

TEST_CASE("running outputs count, so that short ones don't bias the start", "[length_estimator]")
{
    length_estimator lengths{100};
    for (int i = 0; i < 20; ++i)
    {
        auto const estimate = lengths.open(key_of(1));
        lengths.advance(estimate, 0, 900); // Still running.
        learn(lengths, 1, 50);
    }
    CHECK(chance(lengths, 1, 0, 800) > 0.35);
}

TEST_CASE("a new customer starts from the estimate of its model", "[length_estimator]")
{
    length_estimator lengths{100};
    for (int i = 0; i < 100; ++i)
    {
        learn(lengths, 1, 2000);
    }
    CHECK(chance(lengths, 2, 0, 1000) > 0.8);
}

TEST_CASE("memory is bounded, and open estimates are never evicted", "[length_estimator]")
{
    length_estimator lengths{8};
    auto const held = lengths.open(key_of(1));
    for (std::uint64_t customer = 2; customer < 1000; ++customer)
    {
        learn(lengths, customer, 100);
    }
    CHECK(lengths.size() <= 9);
    CHECK(lengths.open(key_of(1)) == held);
}
