#include <plumdale/coordination/length_estimator.hpp>

#include <cmath>
#include <cstdio>
#include <random>

// Scores the estimate of the remaining length by its squared error (Brier score): the probability
// of at least 560 more tokens, estimated every 200 tokens of log-normal answers. It is compared
// with an estimator that knows the mean only and with a constant one half. Half way, the customer's
// lengths become three times as long. Example: bench_length_score

namespace
{

using namespace plumdale;

constexpr double additional_tokens = 560.0;
constexpr std::uint32_t sample_interval_tokens = 200;

struct score
{
    double ours = 0.0;
    double mean = 0.0;
    double nothing = 0.0;
    double asked = 0.0;
};

void print(char const* phase, score const& one)
{
    std::printf("{\"phase\":\"%s\",\"ours\":%.4f,\"mean\":%.4f,\"nothing\":%.4f}\n", phase,
                one.ours / one.asked, one.mean / one.asked, one.nothing / one.asked);
}

} // namespace

int main()
{
    score phases[4];
    char const* const names[4] = {"answers 1-30", "answers 31-300", "30 after the shift",
                                  "31-300 after the shift"};
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::mt19937 random{seed};
        coordination::length_estimator lengths{100};
        auto const estimate =
            lengths.open({state::customer_id{1}, state::model_id{1}, state::work_kind::draft});
        double sum = 0.0;
        for (int i = 0; i < 600; ++i)
        {
            std::lognormal_distribution<double> draw{i < 300 ? 6.7 : 7.8, 0.7};
            auto const length = static_cast<std::uint32_t>(draw(random)) + 1;
            int const phase = (i < 300 ? 0 : 2) + (i % 300 < 30 ? 0 : 1);
            for (std::uint32_t so_far = 0; so_far < length; so_far += sample_interval_tokens)
            {
                double const truth = length > so_far + additional_tokens ? 1.0 : 0.0;
                // With the mean only, lengths are exponential: the same probability at every token.
                double const by_mean = i == 0 ? 0.5 : std::exp(-additional_tokens / (sum / i));
                double const ours = lengths.survival(estimate, so_far, additional_tokens);
                phases[phase].ours += (ours - truth) * (ours - truth);
                phases[phase].mean += (by_mean - truth) * (by_mean - truth);
                phases[phase].nothing += 0.25;
                phases[phase].asked += 1.0;
            }
            lengths.advance(estimate, 0, length);
            lengths.finish(estimate, length);
            sum += length;
        }
    }
    for (int phase = 0; phase < 4; ++phase)
    {
        print(names[phase], phases[phase]);
    }
    return 0;
}
