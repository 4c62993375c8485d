#include <plumdale/coordination/customer_shares.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

/// Time constant with which demand and usage decay, to about a third. With a shorter one, single
/// drafts of a small customer put it over its share.
constexpr double decay_seconds = 60.0;
/// Factor by which the demand must exceed the share for a customer to be over it; near the share,
/// the noise of single long answers would make the status flap.
constexpr double tolerance = 1.3;
/// Size of the largest burst, in seconds of a token rate limit.
constexpr double burst_seconds = 5.0;

} // namespace

void customer_shares::configure(std::span<state::customer const> customers,
                                std::uint32_t dispatchers)
{
    std::uint32_t const dispatcher_count = std::max(1U, dispatchers);
    for (state::customer const& each : customers)
    {
        account& own = accounts_[each.id];
        own.weight = std::max(0.01, each.weight);
        own.token_rate_limit = each.token_rate_limit / dispatcher_count;
        // Rounded up: a limit below the number of dispatchers would otherwise lock the customer
        // out.
        own.in_flight_limit = (each.in_flight_limit + dispatcher_count - 1) / dispatcher_count;
    }
}

void customer_shares::refresh(state::time_point now)
{
    double const elapsed =
        std::clamp(std::chrono::duration<double>(now - refreshed_).count(), 0.0, 10.0);
    refreshed_ = now;
    double const decay = std::exp(-elapsed / decay_seconds);
    double usage = 0.0;
    sorted_accounts_.clear();
    for (auto& [id, each] : accounts_)
    {
        each.demand *= decay;
        each.question_demand *= decay;
        each.usage *= decay;
        double const rate = each.token_rate_limit;
        each.available_tokens =
            std::min(each.available_tokens + rate * elapsed, rate * burst_seconds);
        usage += each.usage;
        sorted_accounts_.push_back(&each);
    }

    // Weighted max-min fairness: in ascending order of demand per weight, each customer gets its
    // demand or its weighted part of what is left.
    std::sort(sorted_accounts_.begin(), sorted_accounts_.end(),
              [](account const* a, account const* b)
              { return a->demand * b->weight < b->demand * a->weight; });
    double weights = 0.0;
    for (account const* each : sorted_accounts_)
    {
        weights += each->weight;
    }
    for (account* each : sorted_accounts_)
    {
        each->fair_share = std::min(each->demand, usage * each->weight / weights);
        usage -= each->fair_share;
        weights -= each->weight;
    }
    // What is left goes to the customer with the highest demand per weight.
    if (!sorted_accounts_.empty())
    {
        sorted_accounts_.back()->fair_share += std::max(0.0, usage);
    }
}

share_status customer_shares::status(state::customer_id customer,
                                     state::work_kind kind) const noexcept
{
    auto const found = accounts_.find(customer);
    if (found == accounts_.end())
    {
        return share_status::within_share;
    }
    account const& each = found->second;
    bool const too_many = each.in_flight_limit != 0 && each.in_flight >= each.in_flight_limit;
    bool const too_fast = each.token_rate_limit > 0.0 && each.available_tokens <= 0.0;
    if (too_many || too_fast)
    {
        return share_status::over_limit;
    }
    // Compares the demand, not the usage: otherwise a customer that requests several times its
    // share would take the others' capacity each time its usage swings below the share.
    double const demand = kind == state::work_kind::question ? each.question_demand : each.demand;
    return demand > tolerance * each.fair_share ? share_status::over_share
                                                : share_status::within_share;
}

void customer_shares::requested(state::customer_id customer, state::work_kind kind, double tokens)
{
    if (auto const found = accounts_.find(customer); found != accounts_.end())
    {
        found->second.demand += tokens;
        if (kind == state::work_kind::question)
        {
            found->second.question_demand += tokens;
        }
    }
}

void customer_shares::granted(state::customer_id customer, double tokens)
{
    if (auto const found = accounts_.find(customer); found != accounts_.end())
    {
        found->second.usage += tokens;
        found->second.available_tokens -= tokens;
        ++found->second.in_flight;
    }
}

void customer_shares::ended(state::customer_id customer, double expected, double tokens)
{
    if (auto const found = accounts_.find(customer); found != accounts_.end())
    {
        found->second.available_tokens += expected - tokens;
        --found->second.in_flight;
    }
}

} // namespace plumdale::coordination
