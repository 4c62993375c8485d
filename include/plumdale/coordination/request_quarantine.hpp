#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief Quarantine for requests that end the upstreams that run them.

namespace plumdale::coordination
{

/// \brief One piece of evidence on a request that entry VMs send each other.
struct request_evidence
{
    state::request_digest request;
    /// \brief Upstream that ended while it ran the request; none if an upstream answered it
    /// completely.
    state::member_key ended;
    /// \brief Time since that, or since the request last arrived.
    state::duration age{};
};

/// \brief Requests that were answered completely of late, within a bounded size.
class answered_requests
{
public:
    void note(state::request_digest request, state::time_point now);
    /// \brief Returns whether it was answered within `retention`, or up to twice as long ago.
    [[nodiscard]] bool contains(state::request_digest request, state::time_point now) const;

    static constexpr state::duration retention = std::chrono::minutes{1};
    /// \brief Most requests of each of two generations: some 68 per second for `retention`.
    static constexpr std::size_t capacity = 4'096;

private:
    std::unordered_set<state::request_digest> newer_;
    std::unordered_set<state::request_digest> older_;
    state::time_point rotated_at_{};
};

/// \brief Decides which requests are no longer sent to any upstream.
///
/// An upstream that ends may have been ended by any request that it ran. A request that several
/// upstreams ran as they ended, and none answered, is refused by all entry VMs, whichever attempt
/// it is. Merging evidence is commutative and idempotent. Example: \code request_quarantine
/// quarantine; if (quarantine.upstream_ended(request, member, now)) { /* send
/// `quarantine.unreported()` */ } if (quarantine.refuses(request, now)) { /* refuse it as not run
/// */ } \endcode
class request_quarantine
{
public:
    /// \brief Records that an upstream ended while it ran the request; returns whether that is new
    /// evidence.
    bool upstream_ended(state::request_digest request, state::member_key member,
                        state::time_point now);
    /// \brief Records that an upstream answered the request completely; returns whether that
    /// cleared evidence, which is then reported to peers.
    bool answered(state::request_digest request, state::time_point now);
    /// \brief Merges a peer's evidence; returns whether that changed the own evidence.
    bool apply_update(request_evidence const& reported, state::time_point now);
    /// \brief Returns whether a request that arrives now is refused; if so, its lifetime restarts.
    [[nodiscard]] bool refuses(state::request_digest request, state::time_point now);
    /// \brief Returns how long it stays refused unless it arrives again; zero if it is not refused.
    [[nodiscard]] state::duration refused_for(state::request_digest request,
                                              state::time_point now) const;
    /// \brief Drops evidence that is older than `lifetime`.
    void forget(state::time_point now);

    /// \brief Returns how many upstreams are known to have ended while they ran a request, up to
    /// `refusal_threshold`.
    [[nodiscard]] std::size_t ended_upstream_count(state::request_digest request) const;
    /// \brief Returns these upstreams.
    [[nodiscard]] std::span<state::member_key const>
    ended_upstreams(state::request_digest request) const;
    /// \brief Returns the number of requests that are refused.
    [[nodiscard]] std::size_t refused_count() const;
    /// \brief Returns and removes the evidence to be sent to all peers.
    [[nodiscard]] std::vector<request_evidence> unreported();
    /// \brief Returns the evidence of refused requests, for a peer that refuses others.
    [[nodiscard]] std::vector<request_evidence> evidence(std::size_t max_count,
                                                         state::time_point now) const;
    /// \brief Returns a digest of which requests are refused; peers with equal digests have nothing
    /// to exchange.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// \brief Number of upstreams ended while they ran a request at which it is refused. Each one
    /// that ends takes other requests with it.
    static constexpr std::size_t refusal_threshold = 2;
    /// \brief A request that has not arrived for this time may be sent again.
    static constexpr state::duration lifetime = std::chrono::minutes{10};
    /// \brief Most requests that are kept: those that some twenty upstreams ran as they ended.
    static constexpr std::size_t capacity = 512;
    /// \brief Most evidence of ended upstreams that a VM reports per second: one upstream's calls
    /// of this VM.
    static constexpr std::size_t max_reports_per_second = 8;

private:
    struct suspect
    {
        std::array<state::member_key, refusal_threshold> ended{};
        std::size_t count = 0;
        state::time_point last_seen{};
    };

    [[nodiscard]] static bool is_refused(suspect const& row) noexcept
    {
        return row.count >= refusal_threshold;
    }
    [[nodiscard]] static std::uint64_t digest_of(state::request_digest request, suspect const& row);
    bool add(state::request_digest request, state::member_key member, state::time_point last_seen);
    bool clear(state::request_digest request);
    void evict_one();

    std::unordered_map<state::request_digest, suspect> suspects_;
    answered_requests answered_;
    std::vector<request_evidence> unreported_;
    state::time_point report_window_start_{};
    std::size_t reported_in_window_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace plumdale::coordination
