#include <plumdale/coordination/overflow_limit.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

/// Change of the factor for one preemption on each engine. It is large at first, to get near the
/// knee, and small later: preemptions come in clusters, and with a large step each cluster would
/// cause some minutes of refusals.
constexpr double first_step = 0.2;
constexpr double last_step = 0.03;
/// Answers per engine after which the step is half the first one.
constexpr double learning_answers = 200.0;
constexpr double lowest_factor = 0.6;
constexpr double highest_factor = 1.6;
/// Fraction of the bound that is the target, as the limit oscillates about its target.
constexpr double target_fraction = 0.9;
/// Fraction of the memory up to which an engine takes questions; the rest covers what other entry
/// VMs sent since the report.
constexpr double question_fill_limit = 0.95;
/// Fraction of the batch slots reserved for questions.
constexpr double question_slot_fraction = 0.1;

/// Fraction of the drafts' batch slots that questions of a customer over its share may take: they
/// are so short that they would otherwise take each slot before a draft of another customer does.
constexpr double over_share_slot_fraction = 0.85;

/// \brief Returns how many standard deviations above the mean a normal variable exceeds with
/// probability `chance`.
double normal_deviations(double chance) noexcept
{
    double low = 0.0;
    double high = 6.0;
    for (int i = 0; i < 40; ++i)
    {
        double const middle = 0.5 * (low + high);
        bool const above = 0.5 * std::erfc(middle / std::sqrt(2.0)) > chance;
        (above ? low : high) = middle;
    }
    return high;
}

} // namespace

void overflow_limit::configure(state::preset const& preset) noexcept
{
    if (preset.overflow_chance != overflow_chance_)
    {
        overflow_chance_ = preset.overflow_chance;
        deviations_ = normal_deviations(overflow_chance_);
    }
    headroom_ = preset.question_headroom;
    max_batch_ = preset.max_batch;
}

void overflow_limit::learn(double preemptions, double answers, double engines,
                           bool binding) noexcept
{
    if (engines <= 0.0)
    {
        return;
    }
    // While no request reaches the limit, the absence of preemptions says nothing about it.
    double const allowed = binding ? target_fraction * overflow_chance_ * answers : 0.0;
    answers_ += answers / engines;
    double const step = std::max(last_step, first_step / (1.0 + answers_ / learning_answers));
    factor_ += step * (allowed - preemptions) / engines;
    factor_ = std::clamp(factor_, lowest_factor, highest_factor);
}

double overflow_limit::near_term_fullness(engine_forecast const& engine,
                                          load_forecast const& candidate) noexcept
{
    double const mean = engine.load.mean[0] + candidate.mean[0];
    double const held = engine.held + candidate.mean[0];
    return engine.capacity > 0.0 ? std::max(mean, held) / engine.capacity : 0.0;
}

double overflow_limit::projected_fullness(engine_forecast const& engine,
                                          load_forecast const& candidate) const noexcept
{
    double fullest = 0.0;
    for (std::size_t i = 0; i < horizon_points; ++i)
    {
        double const mean = engine.load.mean[i] + candidate.mean[i];
        double const variance = engine.load.variance[i] + candidate.variance[i];
        fullest = std::max(fullest, mean + deviations_ * std::sqrt(variance));
    }
    return engine.capacity > 0.0 ? fullest / engine.capacity : 0.0;
}

capacity_status overflow_limit::check(engine_forecast const& engine, load_forecast const& candidate,
                                      state::work_kind kind, double share) const noexcept
{
    bool const is_draft = kind == state::work_kind::draft;
    bool const may_use_reserved = !is_draft && share >= 1.0;
    double const slots = may_use_reserved ? max_batch_
                                          : max_batch_ * (1.0 - question_slot_fraction) * share *
                                                (is_draft ? 1.0 : over_share_slot_fraction);
    if (engine.batch + 1.0 > slots)
    {
        return capacity_status::batch_full;
    }
    double const used =
        is_draft ? projected_fullness(engine, candidate) : near_term_fullness(engine, candidate);
    double const limit = share * (is_draft ? factor_ * (1.0 - headroom_) : question_fill_limit);
    return used <= limit ? capacity_status::free : capacity_status::memory_full;
}

double overflow_limit::factor() const noexcept
{
    return factor_;
}

double overflow_limit::deviations() const noexcept
{
    return deviations_;
}

} // namespace plumdale::coordination
