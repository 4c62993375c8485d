#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief Requests that end the upstreams that run them.

namespace plumdale::coordination
{

/// \brief One thing that entry VMs tell each other of a request.
struct request_evidence
{
    state::request_digest request;
    /// \brief Upstream that ended while it ran the request; none where an upstream answered it
    /// whole.
    state::member_key ended;
    /// \brief How long ago that was, or since the request was last asked for.
    state::duration age{};
};

/// \brief Requests that were answered whole lately, as far as they fit.
class answered_requests
{
public:
    void note(state::request_digest request, state::time_point now);
    /// \brief Returns whether it was answered within `retention`, or up to twice as long ago.
    [[nodiscard]] bool contains(state::request_digest request, state::time_point now) const;

    static constexpr state::duration retention = std::chrono::minutes{1};
    /// \brief Most requests of each of two halves: some 68 a second for `retention`.
    static constexpr std::size_t capacity = 4'096;

private:
    std::unordered_set<state::request_digest> newer_;
    std::unordered_set<state::request_digest> older_;
    state::time_point rotated_at_{};
};

/// \brief Decides which requests are not sent to any upstream any more.
///
/// An upstream that breaks off may have been ended by any request that it ran. One under which
/// several ended, none of which answered it, is refused by all entry VMs, whichever attempt it is
/// and wherever it arrives. Evidence joins in any order and any number of times to the same result.
/// Example:
/// \code
/// request_quarantine quarantine;
/// if (quarantine.upstream_ended(request, member, now)) { /* tell all `quarantine.untold()` */ }
/// if (quarantine.refuses(request, now)) { /* refuse it as not run */ }
/// \endcode
class request_quarantine
{
public:
    /// \brief An upstream ended while it ran the request; returns whether peers are to be told.
    bool upstream_ended(state::request_digest request, state::member_key member,
                        state::time_point now);
    /// \brief An upstream answered the request whole; returns whether peers are to be told.
    bool answered(state::request_digest request, state::time_point now);
    /// \brief Takes what a peer tells; returns whether that changed what is known.
    bool apply_update(request_evidence const& reported, state::time_point now);
    /// \brief Returns whether a request that is asked for now is refused.
    [[nodiscard]] bool refuses(state::request_digest request, state::time_point now);
    /// \brief Returns how long it is refused if nobody asks for it; zero if it is not.
    [[nodiscard]] state::duration refused_for(state::request_digest request,
                                              state::time_point now) const;
    /// \brief Drops what no longer counts.
    void forget(state::time_point now);

    /// \brief Returns how many upstreams are known to have ended under a request, up to
    /// `refusal_threshold`.
    [[nodiscard]] std::size_t ended_upstream_count(state::request_digest request) const;
    /// \brief Returns the number of requests that are refused.
    [[nodiscard]] std::size_t refused_count() const;
    /// \brief Returns what is to be told to all peers, once.
    [[nodiscard]] std::vector<request_evidence> unreported();
    /// \brief Returns the evidence of refused requests, for a peer that refuses others.
    [[nodiscard]] std::vector<request_evidence> evidence(std::size_t max_count,
                                                         state::time_point now) const;
    /// \brief Returns a digest of which requests are refused; equal ones mean that there is
    /// nothing to tell.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// \brief Upstreams that may end under a request before it is refused. Others that ran there
    /// are lost with each.
    static constexpr std::size_t refusal_threshold = 2;
    /// \brief A request that nobody has asked for in this time may be sent again.
    static constexpr state::duration lifetime = std::chrono::minutes{10};
    /// \brief Most requests that are kept: all that some twenty upstreams ran as they ended.
    static constexpr std::size_t capacity = 512;
    /// \brief Ends that a VM tells in a second: one upstream's calls of this VM.
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
