#pragma once

#include <plumdale/coordination/load_forecaster.hpp>
#include <plumdale/state/preset.hpp>
#include <plumdale/state/request.hpp>

#include <cstdint>

/// \file
/// \brief Decides how full an engine may be projected to get.

namespace plumdale::coordination
{

/// \brief What stands against one more stream on an engine.
enum class capacity_status : std::uint8_t
{
    free,
    batch_full,
    memory_full
};

/// \brief Holds the chance of overflow under the preset's bound.
///
/// The bound on memory has a knee: a few percent above it preemptions rise tenfold, and where it
/// lies depends on the lengths. It is found online: each answer raises the limit a little and each
/// preemption that engines report lowers it, so that in the long run preemptions for each answer
/// stay at the preset's `overflow_chance`. Example:
/// \code
/// overflow_limit limit;
/// limit.use(preset);
/// limit.learn(preemptions_since, answers_since, engines, requests_met_it);
/// if (limit.check(book.forecast(gauge, now), wanted, kind, 1.0) == room::free) { … }
/// \endcode
class overflow_limit
{
public:
    /// \brief Takes over a preset's bounds; what was learnt is kept.
    void configure(state::preset const& preset) noexcept;
    /// \brief Learns from `preemptions` and `answers` that all of `engines` had since the last
    /// call. \param binding Whether the limit kept a request from an engine meanwhile.
    void learn(double preemptions, double answers, double engines, bool binding) noexcept;

    /// \brief Returns whether a stream of this forecast has room on an engine.
    /// \param share 1, or less for a customer that is over its fair share: the part of the limit
    /// that it may fill. Its questions get none of the batch places kept for questions then.
    [[nodiscard]] capacity_status check(engine_forecast const& engine,
                                        load_forecast const& candidate, state::work_kind kind,
                                        double share) const noexcept;
    /// \brief Returns the fullest projection, mean and deviations, as a part of the memory.
    [[nodiscard]] double projected_fullness(engine_forecast const& engine,
                                            load_forecast const& candidate) const noexcept;

    /// \brief Returns the learnt factor on the memory limit.
    [[nodiscard]] double factor() const noexcept;
    /// \brief Returns the deviations kept free.
    [[nodiscard]] double deviations() const noexcept;

private:
    /// \brief Returns the part of the memory in use now or at the first horizon point. A question
    /// is over before drafts that grow could crowd it, so nothing further ahead counts for it.
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
