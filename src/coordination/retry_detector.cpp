#include <plumdale/coordination/retry_detector.hpp>

#include <algorithm>

namespace plumdale::coordination
{

bool retry_detector::detect(state::duration time_left) noexcept
{
    samples_[count_ % window_size] = time_left;
    ++count_;
    std::size_t const known = std::min(count_, window_size);
    if (known < min_samples)
    {
        return false;
    }
    std::array<state::duration, window_size> sorted = samples_;
    auto const rank = static_cast<std::size_t>(usual_quantile * static_cast<double>(known - 1));
    auto const usual = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), usual, sorted.begin() + static_cast<std::ptrdiff_t>(known));
    return time_left < std::chrono::duration_cast<state::duration>(retry_threshold * *usual);
}

} // namespace plumdale::coordination
