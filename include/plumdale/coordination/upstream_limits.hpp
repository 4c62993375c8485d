#pragma once

#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/stated_limit.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Request rates, per second, that upstreams state as their limit for all entry VMs.

namespace plumdale::coordination
{

/// \brief How a statement changed the limit of an upstream.
enum class limit_change : std::uint8_t
{
    none,
    added,
    updated,
    removed
};

/// \brief A limit for all entry VMs together, and this VM's place among them.
struct shared_limit
{
    double per_second = 0.0;
    /// \brief VMs with a lower rank for this upstream.
    std::size_t rank = 0;
    std::size_t vms = 1;
};

/// \brief Keeps a fleet within the limits that its upstreams state.
///
/// A limit that one VM reads in an answer is sent to all. Some VMs, chosen by rank for each
/// upstream, have an equal part of it; the others send nothing there while the limit is stated.
/// Example:
/// \code
/// upstream_limits limits{fleet, self};
/// limits.answered(member, 3.1, now);
/// if (limits.may_send(member, now)) { send(); limits.note_sent(member, now); }
/// \endcode
class upstream_limits
{
public:
    upstream_limits(fleet_view const& fleet, state::node_id self) noexcept
        : fleet_{fleet}, self_{self}
    {
    }

    /// \brief Records that an upstream answered this VM, and stated this limit or none.
    limit_change answered(state::member_key member, std::optional<double> per_second,
                          state::time_point now);
    /// \brief Merges a statement from a peer; the newer of two statements counts.
    limit_change apply_update(state::stated_limit const& reported, state::time_point now);
    /// \brief Returns whether this VM may send a request to an upstream now.
    [[nodiscard]] bool may_send(state::member_key member, state::time_point now) const;
    /// \brief Counts a request that was sent.
    void note_sent(state::member_key member, state::time_point now);
    /// \brief Updates the ranks and drops statements that were not repeated for `lifetime`.
    void sweep(state::time_point now);

    /// \brief Returns the limit in force for an upstream; none if there is none.
    [[nodiscard]] std::optional<double> limit_of(state::member_key member) const;
    /// \brief Returns the limit in force for an upstream with this VM's rank; none if there is
    /// none.
    [[nodiscard]] std::optional<shared_limit> shared_limit_of(state::member_key member) const;
    /// \brief Returns the peers among the `count` VMs of the lowest ranks for an upstream.
    [[nodiscard]] std::vector<state::node_id> peers_of_lowest_ranks(state::member_key member,
                                                                    std::size_t count) const;
    /// \brief Returns how many VMs send to an upstream with this limit.
    [[nodiscard]] static std::size_t sender_count(double per_second, std::size_t vms) noexcept;
    /// \brief Returns and removes the statements to be sent to all peers.
    [[nodiscard]] std::vector<state::stated_limit> unreported(state::time_point now);
    /// \brief Returns what this VM read itself within `rebroadcast_time`, for peers that missed it.
    [[nodiscard]] std::vector<state::stated_limit> confirmed(std::size_t max_count,
                                                             state::time_point now) const;

    /// \brief Answers with and without a limit may arrive interleaved. A limit therefore ends with
    /// an answer that states none only if no limit was stated for this time.
    static constexpr state::duration removal_delay = std::chrono::seconds{1};
    /// \brief How long after an answer this VM repeats its statement to peers.
    static constexpr state::duration rebroadcast_time = std::chrono::seconds{10};
    /// \brief How long a statement holds without being repeated: its end was missed, or no VM that
    /// sends has calls.
    static constexpr state::duration lifetime = std::chrono::seconds{30};
    /// \brief Relative change of a limit above which the new value is sent to peers.
    static constexpr double report_threshold = 0.05;
    /// \brief Least requests per second to an upstream that accepts almost none: without answers,
    /// the end of its limit would not be noticed.
    static constexpr double min_rate = 0.1;
    /// \brief Longest time for which unused requests accumulate, as calls come unevenly. A VM may
    /// always accumulate one.
    static constexpr state::duration max_burst_time = std::chrono::milliseconds{500};
    /// \brief Most rows; more than the upstreams of any fleet that state a limit at one moment.
    static constexpr std::size_t capacity = 4'096;

private:
    struct row
    {
        std::optional<double> per_second;
        /// \brief When it was stated, or when an answer ended it.
        state::time_point as_of{};
        /// \brief When it was last stated.
        state::time_point stated_at{};
        /// \brief When this VM last had an answer itself.
        state::time_point confirmed_at{};
        /// \brief Requests that may be sent at `counted_at`; negative after requests that could not
        /// wait.
        double allowed = 0.0;
        state::time_point counted_at{};
        /// \brief This VM's rank for the upstream among `vms` VMs, computed when the statement
        /// comes and with each sweep, not for each request.
        std::size_t rank = 0;
        std::size_t vms = 1;
    };

    void update_rank(state::member_key member, row& limit) const;
    [[nodiscard]] static double own_rate(row const& limit) noexcept;
    [[nodiscard]] static double allowed_at(row const& limit, state::time_point now) noexcept;
    limit_change apply_statement(state::member_key member, row& limit,
                                 std::optional<double> per_second, state::time_point now);

    fleet_view const& fleet_;
    state::node_id self_;
    std::unordered_map<state::member_key, row> rows_;
    std::vector<state::member_key> unreported_;
};

} // namespace plumdale::coordination
