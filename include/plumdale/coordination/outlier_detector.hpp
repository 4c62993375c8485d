#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <unordered_map>

/// \file
/// \brief Detects upstreams that fail although the platform lists them as healthy.

namespace plumdale::coordination
{

/// \brief Result of a call, as far as it shows the health of its upstream.
enum class call_result : std::uint8_t
{
    good,        ///< A complete answer.
    failed,      ///< A failure status of its own, a broken or corrupt answer, or none.
    unreachable, ///< The connection could not be made.
    busy         ///< Refused as full; does not count for its health.
};

/// \brief Passive outlier detection: ejects upstreams that fail much more often than usual, and
/// tries them again later.
///
/// Health pages are not queried, since they can be wrong either way. Example:
/// \code
/// outlier_detector health;
/// health.note(member, call_result::failed, now);
/// if (health.penalty(member, now) == 0.0) { ... }
/// \endcode
class outlier_detector
{
public:
    void note(state::member_key member, call_result result, state::time_point now);
    /// \brief Returns 0 for a healthy upstream, up to 1 for one that should get no work while
    /// another can take it.
    [[nodiscard]] double penalty(state::member_key member, state::time_point now) const;
    /// \brief Returns the end of the upstream's last ejection; the epoch if it never was ejected.
    [[nodiscard]] state::time_point ejected_until(state::member_key member) const;
    void forget(state::member_key member);

    /// \brief Weight of the newest result in the moving average: from zero, four failures in a row
    /// exceed the limit below, and one in seven (usual for plain services) does not.
    static constexpr double smoothing_factor = 0.2;
    /// \brief Failure rate above which an upstream is ejected.
    static constexpr double failure_rate_limit = 0.5;
    /// \brief Time of the first ejection; each further one doubles it until a call succeeds.
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
