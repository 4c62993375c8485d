#pragma once

#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Upstreams that entry VMs could not connect to, shared between them.

namespace plumdale::coordination
{

/// \brief What an entry VM found at an upstream.
enum class suspicion_kind : std::uint8_t
{
    answered,  ///< It answered; refutes all older findings.
    refused,   ///< It refused the connection: nearly certain that its process is gone.
    timed_out, ///< No answer to a connection: the upstream or the path.
};

/// \brief A finding as peers receive it.
struct suspicion_row
{
    state::member_key member;
    suspicion_kind kind = suspicion_kind::answered;
    state::duration age{};
};

/// \brief A live entry VM and its zone.
struct zoned_vm
{
    state::node_id node;
    state::zone_id zone;
};

/// \brief A decision on an upstream, for the log.
struct suspicion_change
{
    state::member_key member;
    bool is_suspected = false;
    /// \brief Entry VMs whose findings count now.
    std::size_t vms = 0;
};

/// \brief Decides from the findings of all entry VMs which upstreams are likely gone.
///
/// A suspected upstream stays listed: it only gets no first attempts while others have capacity.
/// Example:
/// \code
/// suspicions.note(member, suspicion_kind::refused, now);
/// for (auto const& row : suspicions.unreported(now)) { send(row); }
/// if (suspicions.is_suspected(member, now)) { ... }
/// \endcode
class upstream_suspicions
{
public:
    upstream_suspicions(service_directory const& directory, state::node_id self,
                        state::zone_id own_zone) noexcept
        : directory_{directory}, self_{self}, own_zone_{own_zone}
    {
    }

    /// \brief Records an own finding.
    void note(state::member_key member, suspicion_kind kind, state::time_point now);
    /// \brief Applies the findings of a peer in `zone`.
    void apply_update(state::node_id peer, state::zone_id zone, std::span<suspicion_row const> rows,
                      state::time_point now);
    /// \brief Returns whether an upstream should get no first attempts while others can take them.
    [[nodiscard]] bool is_suspected(state::member_key member, state::time_point now) const;
    /// \brief Returns and removes the own findings to be sent to all peers.
    [[nodiscard]] std::vector<suspicion_row> unreported(state::time_point now);
    /// \brief Returns the upstreams that this VM is to connect to now, and counts them as probed.
    [[nodiscard]] std::vector<state::member_key> take_due_probes(std::span<zoned_vm const> peers,
                                                                 state::time_point now);
    /// \brief Returns whether an upstream whose connection broke is to be connected to now.
    [[nodiscard]] bool take_probe_in_doubt(state::member_key member, state::time_point now);
    /// \brief Returns the decisions since the last call.
    [[nodiscard]] std::vector<suspicion_change> take_changes(state::time_point now);
    /// \brief Drops the findings of the own zone's VMs since `since` on upstreams of a zone whose
    /// path failed, not they.
    void path_failed(state::zone_id zone, state::time_point since);
    void forget(state::member_key member);
    /// \brief Drops what has aged.
    void sweep(state::time_point now);
    [[nodiscard]] bool empty() const noexcept
    {
        return records_.empty();
    }

    /// \brief A finding that nobody renews counts for this long; probes renew it.
    static constexpr state::duration lifetime = std::chrono::seconds{10};
    /// \brief Own time-outs in a row that make a finding.
    static constexpr std::uint32_t min_timeouts = 2;
    /// \brief Entry VMs that must find an upstream silent, or zones apart from the upstream's and
    /// the own that must find it refusing.
    static constexpr std::size_t min_witnesses = 2;
    /// \brief Upstreams of a zone that failed since it last answered, from which on the own path is
    /// doubtful and no finding is sent.
    static constexpr std::size_t max_failed_in_zone = 3;
    /// \brief Refusals of a peer that answers refuted, from which on it needs a second VM.
    static constexpr std::uint32_t max_refuted = 3;
    /// \brief An answer this soon after a finding shows that it was wrong.
    static constexpr state::duration refutation_time = std::chrono::milliseconds{300};
    static constexpr state::duration distrust_time = std::chrono::seconds{5};
    /// \brief Shortest and longest time between two probes of an upstream.
    static constexpr state::duration min_probe_interval = std::chrono::milliseconds{500};
    static constexpr state::duration max_probe_interval = std::chrono::seconds{4};
    /// \brief Time that each VM waits for the probe of the one before it in rank.
    static constexpr state::duration succession_delay = std::chrono::milliseconds{100};
    /// \brief A finding that the fleet heard within this time isn't sent again.
    static constexpr state::duration min_report_interval = std::chrono::milliseconds{300};
    static constexpr std::size_t max_records = 512;
    static constexpr std::size_t max_findings = 8;

private:
    struct finding
    {
        state::node_id vm;
        state::zone_id zone;
        suspicion_kind kind = suspicion_kind::refused;
        state::time_point at{};
    };

    struct record
    {
        /// \brief The latest of each entry VM.
        std::vector<finding> findings;
        /// \brief Latest answer to a VM of the upstream's zone or the own, and to any other.
        state::time_point answered_at{};
        state::time_point answered_elsewhere_at{};
        /// \brief When the first of the findings since the last answer came.
        state::time_point suspected_since = state::never;
        /// \brief When anybody last had a finding, or this VM last probed.
        state::time_point news_at{};
        state::time_point probed_at{};
        /// \brief When the fleet last heard that it fails.
        state::time_point reported_at{};
        std::uint32_t own_timeouts = 0;
        std::optional<suspicion_kind> unreported;
        bool is_logged = false;
    };

    struct distrust
    {
        std::uint32_t refuted = 0;
        state::time_point last_at{};
    };

    [[nodiscard]] state::zone_id zone_of(state::member_key member) const;
    record& record_of(state::member_key member, state::time_point now);
    void add_finding(record& to, finding const& added, state::time_point now);
    void note_failure(state::member_key member, suspicion_kind kind, state::time_point now);
    void note_answer(state::member_key member, state::time_point now);
    void apply_answer(record& to, zoned_vm const& from, state::zone_id zone, state::time_point at);
    [[nodiscard]] bool counts(record const& in, finding const& each, state::time_point now) const;
    /// \brief Returns whether a finding comes from where the paths to the upstream are alike.
    [[nodiscard]] bool is_near(state::zone_id from, state::zone_id upstream) const noexcept;
    [[nodiscard]] bool is_trusted(state::node_id vm, state::time_point now) const;
    [[nodiscard]] bool is_suspected(record const& in, state::zone_id zone,
                                    state::time_point now) const;
    [[nodiscard]] std::size_t count_of(record const& in, state::time_point now) const;
    [[nodiscard]] bool is_path_doubtful(state::zone_id zone) const;
    [[nodiscard]] std::size_t rank_of_self(state::member_key member, state::zone_id zone,
                                           std::span<zoned_vm const> peers) const;
    [[nodiscard]] state::duration probe_interval(record const& in, bool is_suspect,
                                                 state::time_point now) const;

    service_directory const& directory_;
    state::node_id self_;
    state::zone_id own_zone_;
    std::unordered_map<state::member_key, record> records_;
    /// \brief By zone, the upstreams that failed here since that zone last answered.
    std::unordered_map<state::zone_id, std::vector<state::member_key>> failed_;
    std::unordered_map<state::node_id, distrust> distrusted_;
};

} // namespace plumdale::coordination
