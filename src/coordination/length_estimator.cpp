#include <plumdale/coordination/length_estimator.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

constexpr std::size_t bucket_count = 52;
/// Four ranges for each doubling of the length; the first one is 0 to 8 tokens.
constexpr std::uint32_t first_edge = 8;
constexpr std::size_t ranges_per_doubling = 4;

/// Outputs that a range counts before both of its counts are halved. Small for a customer, so that
/// the estimate follows a sudden shift within some tens of outputs; larger for a model, which is
/// the initial estimate of new customers.
constexpr float customer_window = 96.0F;
constexpr float model_window = 512.0F;
/// Weight of a model's estimate in that of a customer, in outputs.
constexpr double model_weight = 4.0;
/// Weight, in outputs, of a constant ending chance per token in a model's ranges, derived from the
/// mean length. With few outputs that is the better estimate; with many it hardly counts.
constexpr double mean_weight = 8.0;
/// Mean length before any output: 500 tokens, with the weight of half an output.
constexpr double prior_mean_tokens = 500.0;
constexpr double prior_weight = 0.5;
/// Changes of an estimate after which its hazards are recomputed.
constexpr std::uint32_t changes_per_rebuild = 8;

constexpr length_estimator::estimate_id no_parent = UINT32_MAX;

std::array<double, bucket_count + 1> make_edges()
{
    std::array<double, bucket_count + 1> edges{};
    for (std::size_t i = 1; i <= bucket_count; ++i)
    {
        edges[i] = first_edge * std::exp2(static_cast<double>(i - 1) / ranges_per_doubling);
    }
    return edges;
}

std::array<double, bucket_count + 1> const edges = make_edges();

} // namespace

length_estimator::length_estimator(std::size_t capacity) : capacity_{capacity} {}

std::size_t length_estimator::key_hash::operator()(length_key const& key) const noexcept
{
    std::uint64_t const pair = state::mix(key.customer.value, key.model.value);
    return static_cast<std::size_t>(state::mix(pair, static_cast<std::uint64_t>(key.kind)));
}

std::size_t length_estimator::bucket_of(std::uint32_t tokens) noexcept
{
    if (tokens < first_edge)
    {
        return 0;
    }
    auto const doublings = static_cast<std::size_t>(std::bit_width(tokens / first_edge)) - 1;
    std::size_t bucket = 1 + doublings * ranges_per_doubling;
    while (bucket + 1 < bucket_count && tokens >= edges[bucket + 1])
    {
        ++bucket;
    }
    return std::min(bucket, bucket_count - 1);
}

// -- estimates ------------------------------------------------------------------------------------

length_estimator::estimate_id length_estimator::parent_of(length_key const& key)
{
    length_key const general{{}, key.model, key.kind};
    auto const found = index_.find(general);
    return found != index_.end() ? found->second : insert(general, no_parent);
}

length_estimator::estimate_id length_estimator::insert(length_key const& key, estimate_id parent)
{
    estimate fresh;
    fresh.key = key;
    fresh.parent = parent;
    auto const id = static_cast<estimate_id>(estimates_.size());
    rebuild(fresh);
    estimates_.push_back(fresh);
    index_.emplace(key, id);
    return id;
}

length_estimator::estimate_id length_estimator::least_recently_used() const noexcept
{
    estimate_id least_recent = no_parent;
    for (estimate_id id = 0; id < estimates_.size(); ++id)
    {
        estimate const& each = estimates_[id];
        bool const idle = each.open == 0 && each.parent != no_parent;
        if (idle &&
            (least_recent == no_parent || each.last_used < estimates_[least_recent].last_used))
        {
            least_recent = id;
        }
    }
    return least_recent;
}

length_estimator::estimate_id length_estimator::open(length_key const& key)
{
    estimate_id const parent = parent_of(key);
    estimate_id id = parent;
    if (auto const found = index_.find(key); found != index_.end())
    {
        id = found->second;
    }
    else if (keys_ < capacity_)
    {
        ++keys_;
        id = insert(key, parent);
    }
    else if (estimate_id const least_recent = least_recently_used(); least_recent != no_parent)
    {
        index_.erase(estimates_[least_recent].key);
        estimates_[least_recent] = estimate{};
        estimates_[least_recent].key = key;
        estimates_[least_recent].parent = parent;
        rebuild(estimates_[least_recent]);
        index_.emplace(key, least_recent);
        id = least_recent;
    }
    ++estimates_[id].open;
    estimates_[id].last_used = ++uses_;
    return id;
}

void length_estimator::close(estimate_id id) noexcept
{
    --estimates_[id].open;
}

std::size_t length_estimator::size() const noexcept
{
    return estimates_.size();
}

// -- learning -------------------------------------------------------------------------------------

void length_estimator::enter(estimate& each, std::size_t bucket, float limit) noexcept
{
    if (each.entered[bucket] >= limit)
    {
        each.entered[bucket] *= 0.5F;
        each.ended[bucket] *= 0.5F;
    }
    each.entered[bucket] += 1.0F;
}

void length_estimator::advance(estimate_id id, std::uint32_t from, std::uint32_t to) noexcept
{
    estimate& each = estimates_[id];
    std::size_t const last = bucket_of(to);
    std::size_t const first = from == 0 ? 0 : bucket_of(from) + 1;
    if (first <= last)
    {
        rebuild_if_due(each);
    }
    for (std::size_t bucket = first; bucket <= last; ++bucket)
    {
        bool const is_model = each.parent == no_parent;
        enter(each, bucket, is_model ? model_window : customer_window);
        if (!is_model)
        {
            enter(estimates_[each.parent], bucket, model_window);
        }
    }
}

void length_estimator::finish(estimate_id id, std::uint32_t tokens) noexcept
{
    estimate& each = estimates_[id];
    std::size_t const bucket = bucket_of(tokens);
    each.ended[bucket] += 1.0F;
    if (each.parent != no_parent)
    {
        estimates_[each.parent].ended[bucket] += 1.0F;
        rebuild_if_due(estimates_[each.parent]);
    }
    rebuild_if_due(each);
}

void length_estimator::rebuild_if_due(estimate& each) noexcept
{
    if (++each.changes >= changes_per_rebuild)
    {
        each.changes = 0;
        rebuild(each);
    }
}

void length_estimator::rebuild(estimate& each) const noexcept
{
    bool const is_model = each.parent == no_parent;
    double const weight = is_model ? mean_weight : model_weight;
    double const rate = is_model ? ending_rate(each) : 0.0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        double const width = edges[bucket + 1] - edges[bucket];
        double const prior_hazard =
            is_model ? 1.0 - std::exp(-rate * width)
                     : static_cast<double>(estimates_[each.parent].hazard[bucket]);
        double const entered = static_cast<double>(each.entered[bucket]);
        double const ended = std::min(static_cast<double>(each.ended[bucket]), entered);
        double const hazard = (ended + weight * prior_hazard) / (entered + weight);
        each.hazard[bucket] = static_cast<float>(std::min(0.98, hazard));
    }
}

double length_estimator::ending_rate(estimate const& each) noexcept
{
    double ended = prior_weight;
    double tokens = prior_weight * prior_mean_tokens;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        double const width = edges[bucket + 1] - edges[bucket];
        // Outputs that ended in a range, or are still in it, covered about half of it.
        double const next = bucket + 1 < bucket_count ? each.entered[bucket + 1] : 0.0;
        double const entered = each.entered[bucket];
        ended += each.ended[bucket];
        tokens += width * 0.5 * (entered + std::min(entered, next));
    }
    return ended / tokens;
}

// -- queries --------------------------------------------------------------------------------------

double length_estimator::survival(estimate_id id, std::uint32_t so_far, double more) const noexcept
{
    estimate const& each = estimates_[id];
    double const until = so_far + more;
    double at = so_far;
    double alive = 1.0;
    for (std::size_t bucket = bucket_of(so_far); bucket < bucket_count && at < until; ++bucket)
    {
        double const stop = bucket + 1 == bucket_count ? until : std::min(until, edges[bucket + 1]);
        double const part = (stop - at) / (edges[bucket + 1] - edges[bucket]);
        // Within a range, the end of the output is assumed to be uniformly distributed.
        alive *= part >= 1.0 ? 1.0 - static_cast<double>(each.hazard[bucket])
                             : 1.0 - part * static_cast<double>(each.hazard[bucket]);
        at = stop;
    }
    return std::max(0.0, alive);
}

double length_estimator::expected_remaining(estimate_id id, std::uint32_t so_far,
                                            double within) const noexcept
{
    estimate const& each = estimates_[id];
    double const until = so_far + within;
    double at = so_far;
    double alive = 1.0;
    double sum = 0.0;
    for (std::size_t bucket = bucket_of(so_far); bucket < bucket_count && at < until; ++bucket)
    {
        double const stop = bucket + 1 == bucket_count ? until : std::min(until, edges[bucket + 1]);
        double const part = std::min(1.0, (stop - at) / (edges[bucket + 1] - edges[bucket]));
        double const next = alive * (1.0 - part * static_cast<double>(each.hazard[bucket]));
        sum += 0.5 * (alive + next) * (stop - at);
        alive = next;
        at = stop;
    }
    return sum;
}

} // namespace plumdale::coordination
