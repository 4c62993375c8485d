#include <plumdale/coordination/usual_patience.hpp>

#include <algorithm>

namespace plumdale::coordination
{

bool usual_patience::note(state::duration time_left) noexcept
{
    last_[count_ % remembered] = time_left;
    ++count_;
    std::size_t const known = std::min(count_, remembered);
    std::array<state::duration, remembered> sorted = last_;
    auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(known / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(known));
    return time_left < std::chrono::duration_cast<state::duration>(nearly_whole * *middle);
}

} // namespace plumdale::coordination
