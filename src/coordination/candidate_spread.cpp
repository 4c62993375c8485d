#include <plumdale/coordination/candidate_spread.hpp>

#include <algorithm>

namespace plumdale::coordination
{

std::size_t drawn_among(concurrent_choices const& /*choices*/, std::size_t upstreams) noexcept
{
    return std::min<std::size_t>(1, upstreams);
}

} // namespace plumdale::coordination
