#pragma once

#include <plumdale/coordination/upstream_limits.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Refusals per second that brittle upstreams bear from all entry VMs together.

namespace plumdale::coordination
{

/// \brief How an upstream took a request.
enum class send_outcome : std::uint8_t
{
    accepted, ///< It answers, or began to.
    refused,  ///< It had no room.
    unknown   ///< Its answer was lost or not waited for.
};

/// \brief Keeps a fleet from overturning upstreams that end when they refuse too often.
///
/// A request that is not yet known to be accepted may be refused. Each VM therefore counts the
/// requests that are open at an upstream together with the refusals of the last second, and keeps
/// the sum within its share of what the upstream bears. Shares are equal; if the upstream bears
/// fewer refusals than there are VMs, the VMs of the lowest ranks have one each and the others
/// send nothing there. Example:
/// \code
/// refusal_bounds bounds{statements};
/// if (bounds.may_send(member, now)) { send(); bounds.note_sent(member); }
/// bounds.note_settled(member, send_outcome::refused, now);
/// \endcode
class refusal_bounds
{
public:
    /// \brief `statements` has the refusals per second that upstreams bear.
    explicit refusal_bounds(upstream_limits const& statements) noexcept : statements_{statements} {}

    [[nodiscard]] bool may_send(state::member_key member, state::time_point now) const;
    void note_sent(state::member_key member);
    /// \brief Records how the upstream took a request; once for each `note_sent`.
    void note_settled(state::member_key member, send_outcome outcome, state::time_point now);
    /// \brief Returns the requests that may be open or refused at once at this VM.
    [[nodiscard]] std::size_t share_of(state::member_key member) const;
    /// \brief Returns the peers that have a share at an upstream; none if it states no bound.
    [[nodiscard]] std::vector<state::node_id> peers_with_share(state::member_key member) const;
    void sweep(state::time_point now);

    /// \brief Returns how many VMs have a share at an upstream, of `vms`.
    [[nodiscard]] static std::size_t sender_count(double per_second, std::size_t vms) noexcept;

    /// \brief Refusals of this time are counted together: the upstream's second, and the time that
    /// requests and refusals take on their way.
    static constexpr state::duration window = std::chrono::milliseconds{1'250};
    /// \brief Part of the bound that is used. VMs that start or leave know the number of VMs
    /// earlier or later than others.
    static constexpr double used_fraction = 0.8;

private:
    struct row
    {
        std::size_t open = 0;
        std::deque<state::time_point> refused_at;
    };

    [[nodiscard]] static std::size_t usable(double per_second) noexcept;

    upstream_limits const& statements_;
    std::unordered_map<state::member_key, row> rows_;
};

} // namespace plumdale::coordination
