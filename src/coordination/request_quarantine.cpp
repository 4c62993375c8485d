#include <plumdale/coordination/request_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// -- answered requests ----------------------------------------------------------------------------

void answered_requests::note(state::request_digest request, state::time_point now)
{
    if (now >= rotated_at_ + retention || newer_.size() >= capacity)
    {
        older_ = std::move(newer_);
        newer_.clear();
        rotated_at_ = now;
    }
    newer_.insert(request);
}

bool answered_requests::contains(state::request_digest request, state::time_point now) const
{
    bool const newer_counts = now < rotated_at_ + 2 * retention;
    bool const older_counts = now < rotated_at_ + retention;
    return (newer_counts && newer_.contains(request)) || (older_counts && older_.contains(request));
}

// -- evidence -------------------------------------------------------------------------------------

bool request_quarantine::upstream_ended(state::request_digest request, state::member_key member,
                                        state::time_point now)
{
    // Several upstreams may end at once, as when a rack loses power. A request that many callers
    // send may run at all of them without having ended any; its earlier answers clear it.
    if (answered_.contains(request, now) || !add(request, member, now))
    {
        return false;
    }
    // When a zone is cut off, all calls to it end at once at all VMs; reporting them all would
    // saturate the links. Evidence that isn't reported still counts at this VM.
    if (now >= report_window_start_ + std::chrono::seconds{1})
    {
        report_window_start_ = now;
        reported_in_window_ = 0;
    }
    if (++reported_in_window_ <= max_reports_per_second)
    {
        unreported_.push_back({request, member, {}});
    }
    return true;
}

bool request_quarantine::answered(state::request_digest request, state::time_point now)
{
    answered_.note(request, now);
    if (!clear(request))
    {
        return false;
    }
    unreported_.push_back({request, {}, {}});
    return true;
}

bool request_quarantine::apply_update(request_evidence const& reported, state::time_point now)
{
    bool const is_old = reported.age >= (reported.ended ? lifetime : answered_requests::retention);
    if (is_old || !reported.request)
    {
        return false;
    }
    if (!reported.ended)
    {
        // A peer has reported the answer already, so this VM need not.
        std::erase_if(unreported_, [&reported](request_evidence const& each)
                      { return each.request == reported.request; });
        answered_.note(reported.request, now);
        return clear(reported.request);
    }
    if (answered_.contains(reported.request, now))
    {
        unreported_.push_back({reported.request, {}, {}});
        return false;
    }
    return add(reported.request, reported.ended, now - reported.age);
}

bool request_quarantine::add(state::request_digest request, state::member_key member,
                             state::time_point last_seen)
{
    if (!suspects_.contains(request) && suspects_.size() >= capacity)
    {
        evict_one();
    }
    suspect& row = suspects_[request];
    row.last_seen = std::max(row.last_seen, last_seen);
    auto const end = row.ended.begin() + static_cast<std::ptrdiff_t>(row.count);
    bool const is_known = std::find(row.ended.begin(), end, member) != end;
    if (is_known || is_refused(row))
    {
        return false;
    }
    digest_ ^= digest_of(request, row);
    row.ended[row.count] = member;
    ++row.count;
    digest_ ^= digest_of(request, row);
    return true;
}

bool request_quarantine::clear(state::request_digest request)
{
    auto const found = suspects_.find(request);
    if (found == suspects_.end())
    {
        return false;
    }
    digest_ ^= digest_of(request, found->second);
    suspects_.erase(found);
    return true;
}

// Evicts the request with the fewest ended upstreams, and among those the oldest.
void request_quarantine::evict_one()
{
    auto const victim =
        std::min_element(suspects_.begin(), suspects_.end(),
                         [](auto const& one, auto const& other)
                         {
                             return std::pair{one.second.count, one.second.last_seen} <
                                    std::pair{other.second.count, other.second.last_seen};
                         });
    clear(victim->first);
}

// Covers only refused requests, whichever upstreams ended: when a zone is cut off there are
// hundreds of requests with one ended upstream, which VMs need not synchronize.
std::uint64_t request_quarantine::digest_of(state::request_digest request, suspect const& row)
{
    return is_refused(row) ? state::mix(request.value, 0) : 0;
}

void request_quarantine::forget(state::time_point now)
{
    std::vector<state::request_digest> old;
    for (auto const& [request, row] : suspects_)
    {
        if (now >= row.last_seen + lifetime)
        {
            old.push_back(request);
        }
    }
    for (state::request_digest const request : old)
    {
        clear(request);
    }
}

// -- decisions ------------------------------------------------------------------------------------

// A request that is sent again within its lifetime has the same content, so it stays refused.
bool request_quarantine::refuses(state::request_digest request, state::time_point now)
{
    if (refused_for(request, now) == state::duration::zero())
    {
        return false;
    }
    suspects_.find(request)->second.last_seen = now;
    return true;
}

state::duration request_quarantine::refused_for(state::request_digest request,
                                                state::time_point now) const
{
    auto const found = suspects_.find(request);
    bool const is_known = found != suspects_.end() && is_refused(found->second);
    return is_known ? std::max(state::duration::zero(), found->second.last_seen + lifetime - now)
                    : state::duration::zero();
}

std::size_t request_quarantine::ended_upstream_count(state::request_digest request) const
{
    return ended_upstreams(request).size();
}

std::span<state::member_key const>
request_quarantine::ended_upstreams(state::request_digest request) const
{
    auto const found = suspects_.find(request);
    return found == suspects_.end() ? std::span<state::member_key const>{}
                                    : std::span{found->second.ended}.first(found->second.count);
}

std::size_t request_quarantine::refused_count() const
{
    return static_cast<std::size_t>(std::count_if(suspects_.begin(), suspects_.end(),
                                                  [](auto const& each)
                                                  { return is_refused(each.second); }));
}

// -- reporting ------------------------------------------------------------------------------------

std::vector<request_evidence> request_quarantine::unreported()
{
    return std::exchange(unreported_, {});
}

std::vector<request_evidence> request_quarantine::evidence(std::size_t max_count,
                                                           state::time_point now) const
{
    std::vector<request_evidence> found;
    for (auto const& [request, row] : suspects_)
    {
        bool const fits = is_refused(row) && found.size() + row.count <= max_count;
        for (std::size_t i = 0; fits && i < row.count; ++i)
        {
            found.push_back({request, row.ended[i], now - row.last_seen});
        }
    }
    return found;
}

} // namespace plumdale::coordination
