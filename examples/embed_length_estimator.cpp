#include <plumdale/coordination/length_estimator.hpp>

#include <iostream>
#include <random>

// Embeds the length estimator alone: it learns from answers as they run, and estimates how much
// longer an answer that has 500 tokens is likely to get.

int main()
{
    namespace coordination = plumdale::coordination;
    namespace state = plumdale::state;

    coordination::length_estimator lengths{1000};
    auto const drafts =
        lengths.open({state::id_from_name<state::customer_id>("frescura"),
                      state::id_from_name<state::model_id>("lists"), state::work_kind::draft});

    std::mt19937 random{1};
    std::lognormal_distribution<double> draw{7.3, 0.7};
    for (int i = 0; i < 40; ++i)
    {
        auto const tokens = static_cast<std::uint32_t>(draw(random));
        lengths.advance(drafts, 0, tokens);
        lengths.finish(drafts, tokens);
    }

    std::cout << "chance of 1,000 more after 500: " << lengths.survival(drafts, 500, 1000) << '\n'
              << "expected within the next 1,000: " << lengths.expected_remaining(drafts, 500, 1000)
              << '\n';
    lengths.close(drafts);
    return 0;
}
