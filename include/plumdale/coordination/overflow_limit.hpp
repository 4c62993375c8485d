#pragma once

#include <plumdale/coordination/load_forecaster.hpp>
#include <plumdale/state/preset.hpp>
#include <plumdale/state/request.hpp>

#include <cstdint>

/// \file
/// \brief Decides how full an engine may be projected to get.

namespace plumdale::coordination
{

/// \brief Whether an engine has capacity for one more stream, and what is exhausted if not.
enum class capacity_status : std::uint8_t
{
    free,
    batch_full,
    memory_full
};

/// \brief Keeps the chance of overflow within the preset's bound.
///
/// Preemptions rise tenfold a few percent above a knee in memory use, whose position depends on the
/// lengths. The limit finds it online: each answer raises the limit a little and each preemption
/// that engines report lowers it, so that in the long run preemptions per answer stay at the
/// preset's `overflow_chance`. Example:
/// \code
/// overflow_limit limit;
/// limit.configure(preset);
/// limit.learn(preemptions_since, answers_since, engines, limit_was_reached);
/// auto const engine = forecaster.forecast(gauge, now);
/// if (limit.check(engine, candidate, kind, 1.0) == capacity_status::free) { … }
/// \endcode
class overflow_limit
{
public:
    /// \brief Applies a preset's bounds; the learnt factor is kept.
    void configure(state::preset const& preset) noexcept;
    /// \brief Learns from the `preemptions` and `answers` of all `engines` since the last call.
    /// \param binding Whether the limit kept a request from an engine in that time.
    void learn(double preemptions, double answers, double engines, bool binding) noexcept;

    /// \brief Returns whether an engine has capacity for a stream of this forecast.
    /// \param share 1, or less for a customer that is over its fair share: the part of the limit
    /// that it may fill. With less than 1, questions get no batch slots reserved for questions.
    [[nodiscard]] capacity_status check(engine_forecast const& engine,
                                        load_forecast const& candidate, state::work_kind kind,
                                        double share) const noexcept;
    /// \brief Returns the largest projection over the horizon points, mean plus deviations, as a
    /// fraction of the memory.
    [[nodiscard]] double projected_fullness(engine_forecast const& engine,
                                            load_forecast const& candidate) const noexcept;

    /// \brief Returns the learnt factor on the memory limit.
    [[nodiscard]] double factor() const noexcept;
    /// \brief Returns how many standard deviations above the mean are kept free.
    [[nodiscard]] double deviations() const noexcept;

private:
    /// \brief Returns the fraction of the memory in use now or at the first horizon point, the
    /// larger one. A question ends before growing drafts could displace it, so later points don't
    /// count for it.
    [[nodiscard]] static double near_term_fullness(engine_forecast const& engine,
                                                   load_forecast const& candidate) noexcept;

    double factor_ = 1.0;
    double answers_ = 0.0;
    double overflow_chance_ = 0.0;
    double deviations_ = 0.0;
    double headroom_ = 0.1;
    double max_batch_ = 48.0;
};

} // namespace plumdale::coordination
