#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <unordered_map>

/// \file
/// \brief Which upstreams fail though the platform lists them as healthy.

namespace plumdale::coordination
{

/// \brief How a call at an upstream went, as far as the upstream is to be judged by it.
enum class call_result : std::uint8_t
{
    good,        ///< A whole answer.
    failed,      ///< Its own failure status, a broken or spoiled answer, or none.
    unreachable, ///< The connection could not be made.
    busy         ///< Refused as full; says nothing of its health.
};

/// \brief Passive outlier detection: sets upstreams aside that fail much more than is usual, and
/// tries them again.
///
/// Health pages are not asked: they can be wrong either way. Example:
/// \code
/// outlier_detector health;
/// health.note(member, call_result::failed, now);
/// if (health.penalty(member, now) == 0.0) { ... }
/// \endcode
class outlier_detector
{
public:
    void note(state::member_key member, call_result result, state::time_point now);
    /// \brief Returns 0 for a sound upstream, up to 1 for one that should get no work while another
    /// can take it.
    [[nodiscard]] double penalty(state::member_key member, state::time_point now) const;
    /// \brief Returns until when it was set aside last; the epoch if it never was.
    [[nodiscard]] state::time_point ejected_until(state::member_key member) const;
    void forget(state::member_key member);

    /// \brief Share of the newest result in the moving average: four failures in a row pass the
    /// limit below from zero, one in seven (usual of the plain services met) does not.
    static constexpr double smoothing_factor = 0.2;
    /// \brief Failure rate above which an upstream is set aside.
    static constexpr double failure_rate_limit = 0.5;
    /// \brief Upstreams that can't be reached are tried again after this, doubling.
    static constexpr state::duration initial_ejection_time = std::chrono::milliseconds{500};
    static constexpr state::duration max_ejection_time = std::chrono::seconds{4};

private:
    struct record
    {
        double failure_rate = 0.0;
        state::duration ejection_time = initial_ejection_time;
        state::time_point ejected_until{};
    };

    std::unordered_map<state::member_key, record> records_;
};

} // namespace plumdale::coordination
