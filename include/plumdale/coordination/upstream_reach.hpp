#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// \brief Detects that an entry VM has lost its paths to all upstreams.

namespace plumdale::coordination
{

/// \brief How an observation changed what a VM concludes on its paths.
enum class reach_change : std::uint8_t
{
    none,
    lost,
    restored
};

/// \brief Concludes from connections, opened or failed, whether this VM reaches any upstream.
///
/// One upstream that can't be connected to may be dead or crowded, so other upstreams are probed
/// before the paths count as lost, and all the while until they are back. Example:
/// \code
/// reach.connection_failed(member, usable_upstreams, now);
/// for (std::size_t i = reach.take_due_probes(now); i > 0; --i) { probe(); }
/// if (reach.is_lost()) { peer_calls.send(); }
/// \endcode
class upstream_reach
{
public:
    /// \brief Records that a connection to an upstream was opened.
    reach_change connected(state::time_point now);
    /// \brief Records that none could be opened to one of `upstreams` that take work.
    reach_change connection_failed(state::member_key member, std::size_t upstreams,
                                   state::time_point now);
    /// \brief Returns how many upstreams are to be probed now, and counts them as probed.
    [[nodiscard]] std::size_t take_due_probes(state::time_point now);
    /// \brief Returns whether this VM reaches no upstream.
    [[nodiscard]] bool is_lost() const noexcept
    {
        return lost_since_ != state::never;
    }
    /// \brief Returns since when; `never` while it reaches one.
    [[nodiscard]] state::time_point lost_since() const noexcept
    {
        return lost_since_;
    }
    /// \brief Returns the upstreams that failed since one was last reached.
    [[nodiscard]] std::vector<state::member_key> const& failed() const noexcept
    {
        return failed_;
    }

    /// \brief Different upstreams that must fail in a row, or all if fewer take work.
    static constexpr std::size_t min_failed = 5;
    /// \brief With the one that raised the doubt and the one that its call tries next, as many as
    /// `min_failed` and one to spare.
    static constexpr std::size_t probes_in_doubt = 4;
    static constexpr std::size_t probes_while_lost = 2;
    /// \brief Failures right after a success of another upstream raise no doubt.
    static constexpr state::duration contact_time = std::chrono::milliseconds{250};
    /// \brief Shortest time between two rounds of probes.
    static constexpr state::duration probe_interval = std::chrono::milliseconds{500};
    /// \brief Failures further apart than this are not counted in a row.
    static constexpr state::duration failure_lifetime = std::chrono::seconds{3};

private:
    std::vector<state::member_key> failed_;
    state::time_point connected_at_{};
    state::time_point failed_at_{};
    state::time_point next_probes_at_{};
    state::time_point lost_since_ = state::never;
};

} // namespace plumdale::coordination
