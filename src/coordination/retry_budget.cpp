#include <plumdale/coordination/retry_budget.hpp>

#include <algorithm>

namespace plumdale::coordination
{

void retry_budget::first_attempt(std::uint32_t percent) noexcept
{
    balance_ = std::min(max_balance, balance_ + percent);
}

bool retry_budget::available() const noexcept
{
    return balance_ >= one_retry;
}

void retry_budget::take() noexcept
{
    balance_ -= std::min(balance_, one_retry);
}

} // namespace plumdale::coordination
