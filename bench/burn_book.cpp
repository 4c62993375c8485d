// Cost of the error budget tracker for each token: nanoseconds to record one gap, and bytes of
// memory for each row.
#include <plumdale/coordination/error_budget_tracker.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <vector>

namespace
{

using namespace plumdale;

constexpr std::uint32_t rows = 660;
constexpr std::uint32_t tokens = 2'000'000;
constexpr int rounds = 5;

double nanoseconds_a_gap(coordination::error_budget_tracker& tracker)
{
    auto const start = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < tokens; ++i)
    {
        coordination::error_budget_key const key{state::model_id{1},
                                                 state::customer_id{i % rows + 1}};
        tracker.record_token_gap(key, std::chrono::milliseconds{i % 60},
                                 state::time_point{std::chrono::microseconds{70ULL * i}});
    }
    std::chrono::duration<double, std::nano> const took = std::chrono::steady_clock::now() - start;
    return took.count() / tokens;
}

} // namespace

int main()
{
    std::vector<double> costs;
    std::size_t const before = mallinfo2().uordblks;
    coordination::error_budget_tracker tracker{coordination::error_budget_settings{}};
    for (int i = 0; i < rounds; ++i)
    {
        costs.push_back(nanoseconds_a_gap(tracker));
    }
    std::size_t const used = mallinfo2().uordblks - before;
    std::sort(costs.begin(), costs.end());
    std::cout << "ns a token, median of " << rounds << ": " << costs[rounds / 2] << " (least "
              << costs.front() << ", most " << costs.back() << ")\nbytes a row: " << used / rows
              << '\n';
}
