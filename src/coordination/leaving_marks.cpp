#include <plumdale/coordination/leaving_marks.hpp>

#include <algorithm>
#include <iterator>

namespace plumdale::coordination
{
namespace
{

[[nodiscard]] std::uint64_t digest_of(state::upstream_id upstream,
                                      state::incarnation incarnation_number) noexcept
{
    return state::mix(upstream.value, incarnation_number.value);
}

} // namespace

bool leaving_marks::add(leaving_mark mark, std::size_t fleet_size)
{
    auto const [at, is_new] = marks_.try_emplace(mark.upstream, mark.incarnation_number);
    if (!is_new)
    {
        if (at->second >= mark.incarnation_number)
        {
            return false;
        }
        digest_ ^= digest_of(at->first, at->second);
        at->second = mark.incarnation_number;
    }
    digest_ ^= digest_of(mark.upstream, mark.incarnation_number);
    updates_.push(mark.upstream, fleet_size);
    if (marks_.size() > capacity)
    {
        drop_oldest();
    }
    return true;
}

void leaving_marks::prune(state::upstream_id upstream, state::incarnation newest)
{
    auto const at = marks_.find(upstream);
    if (at != marks_.end() && at->second < newest)
    {
        digest_ ^= digest_of(at->first, at->second);
        marks_.erase(at);
    }
}

bool leaving_marks::is_leaving(state::upstream_id upstream,
                               state::incarnation incarnation_number) const noexcept
{
    auto const at = marks_.find(upstream);
    return at != marks_.end() && incarnation_number <= at->second;
}

void leaving_marks::piggyback(peer_message& message, bool differs)
{
    message.digests.marks = digest_;
    for (state::upstream_id const upstream : updates_.take(peer_message::max_marks))
    {
        auto const at = marks_.find(upstream);
        if (at != marks_.end())
        {
            message.marks.push_back({at->first, at->second});
        }
    }
    if (!differs || marks_.empty())
    {
        return;
    }
    std::size_t const remaining = peer_message::max_marks - message.marks.size();
    for (std::size_t i = 0; i < std::min(remaining, marks_.size()); ++i)
    {
        std::size_t const index = next_index_++ % marks_.size();
        auto const at = std::next(marks_.begin(), static_cast<std::ptrdiff_t>(index));
        message.marks.push_back({at->first, at->second});
    }
}

void leaving_marks::drop_oldest()
{
    auto const oldest =
        std::min_element(marks_.begin(), marks_.end(),
                         [](auto const& a, auto const& b) { return a.second < b.second; });
    digest_ ^= digest_of(oldest->first, oldest->second);
    marks_.erase(oldest);
}

} // namespace plumdale::coordination
