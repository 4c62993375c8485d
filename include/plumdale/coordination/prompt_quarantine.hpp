#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief Quarantine for parts of prompts that crash the upstreams that answer them.

namespace plumdale::coordination
{

/// \brief One piece of evidence on a part of prompts that entry VMs send each other.
struct part_evidence
{
    state::prompt_part part;
    /// \brief Upstream that crashed as it began to answer a request with the part; none if an
    /// upstream answered one.
    state::member_key crashed;
    /// \brief That request: when it is sent again, its crashes are one and the same evidence.
    state::request_digest request;
    /// \brief Time since that.
    state::duration age{};
    /// \brief Time since a request with the part last arrived.
    state::duration idle{};
    /// \brief The request was sent to try the part.
    bool is_trial = false;
};

/// \brief Parts whose requests were answered of late, within a bounded size.
class sound_parts
{
public:
    void note(state::prompt_part part, state::time_point now);
    /// \brief Returns whether it was noted within `retention`, or up to twice as long ago.
    [[nodiscard]] bool contains(state::prompt_part part, state::time_point now) const;

    /// \brief Short, as a part that turns bad counts as sound for so long.
    static constexpr state::duration retention = std::chrono::seconds{5};
    /// \brief Most parts of each of two generations.
    static constexpr std::size_t capacity = 4'096;

private:
    std::unordered_set<state::prompt_part> newer_;
    std::unordered_set<state::prompt_part> older_;
    state::time_point rotated_at_{};
};

/// \brief Decides which parts of prompts are no longer sent to any upstream.
///
/// A crash is evidence against each part of the requests whose answers its upstream was about to
/// begin, and any answer is proof for the parts of its request. A part with crashes of several
/// requests and no proof since is refused by all entry VMs, unless another part that has more of
/// them, or had as many before, accounts for them. A refused part is tried again, at most a few
/// times in all, so that a wrong suspicion ends. Merging evidence is commutative and idempotent.
/// Example: \code prompt_quarantine quarantine; if (quarantine.upstream_crashed(parts, request,
/// member, now)) { /* send `unreported(now)` */ } if (quarantine.refuses(parts, now)) { /* refuse
/// the request as not run */ } \endcode
class prompt_quarantine
{
public:
    using part_list = std::span<state::prompt_part const>;

    /// \brief Records that an upstream crashed as it began to answer a request, which tried a part
    /// or not; returns whether that is new evidence.
    bool upstream_crashed(part_list parts, state::request_digest request, state::member_key member,
                          bool is_trial, state::time_point now);
    /// \brief Records that an upstream answers a request and goes on; returns whether that cleared
    /// evidence, which is then reported to peers.
    bool answered(part_list parts, state::time_point now);
    /// \brief Merges a peer's evidence; returns whether that changed the own evidence. If the part
    /// is known to be sound here, that is reported after `reply_delay`, unless a peer does before.
    bool apply_update(part_evidence const& reported, state::duration reply_delay,
                      state::time_point now);
    /// \brief Returns whether a request that arrives now is refused; if so, the lifetime of its
    /// refused parts restarts.
    [[nodiscard]] bool refuses(part_list parts, state::time_point now);
    /// \brief Returns the only refused part of a request if one request with it may be sent now.
    [[nodiscard]] std::optional<state::prompt_part> due_trial(part_list parts,
                                                              state::time_point now) const;
    /// \brief Records that a request tries the part; no other does for `time`, or until
    /// `end_trial`.
    void begin_trial(state::prompt_part part, state::duration time, state::time_point now);
    /// \brief Records that the request of a trial ended, with or without showing anything.
    void end_trial(state::prompt_part part, state::time_point now);
    /// \brief Returns the time until a refused request may be tried, `lifetime` if it won't be;
    /// zero if it is not refused.
    [[nodiscard]] state::duration refused_for(part_list parts, state::time_point now) const;
    /// \brief Returns whether refused parts account for the crashes of all these upstreams.
    [[nodiscard]] bool accounts_for(std::span<state::member_key const> members) const;
    /// \brief Drops evidence that is older than `lifetime`.
    void forget(state::time_point now);

    /// \brief Returns whether any of the parts was not answered of late.
    [[nodiscard]] bool is_any_unproven(part_list parts, state::time_point now) const;
    [[nodiscard]] bool is_refused(state::prompt_part part) const;
    /// \brief Returns how many upstreams are known to have crashed under a part, up to
    /// `max_crashes`.
    [[nodiscard]] std::size_t crash_count(state::prompt_part part) const;
    [[nodiscard]] std::size_t refused_count() const;
    /// \brief Returns and removes the evidence to be sent to all peers now.
    [[nodiscard]] std::vector<part_evidence> unreported(state::time_point now);
    /// \brief Returns the evidence on refused parts, for a peer that refuses others.
    [[nodiscard]] std::vector<part_evidence> evidence(std::size_t max_count,
                                                      state::time_point now) const;
    /// \brief Returns a digest of the refused parts; peers with equal digests have nothing to
    /// exchange.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// \brief Crashes of different requests, at different times, at which a part is refused. After
    /// a loss of power at all VMs the evidence is gathered anew, and only three requests may be
    /// lost to that.
    static constexpr std::size_t refusal_threshold = 2;
    /// \brief Crashes within this time count once: a rack that loses power takes many upstreams.
    static constexpr state::duration common_cause_time = std::chrono::milliseconds{200};
    /// \brief A refused part that no request has had for this time may be sent again.
    static constexpr state::duration lifetime = std::chrono::minutes{10};
    /// \brief Times from a part's last crash to its next trial, by the trials that crashed; then
    /// there are no more. One less than the requests that a known part may crash, as one may be on
    /// its way.
    static constexpr std::array<state::duration, 2> trial_delays{std::chrono::seconds{1},
                                                                 std::chrono::minutes{1}};
    /// \brief Longest time that a trial takes to show whether its part is sound.
    static constexpr state::duration trial_time = std::chrono::seconds{5};
    /// \brief Time between two requests that a VM hands to the one that tries their part.
    static constexpr state::duration hand_over_interval = std::chrono::seconds{1};
    /// \brief Most crashes that are kept for a part, besides those of trials.
    static constexpr std::size_t max_crashes = 6;
    /// \brief Most parts that are kept: those of some hundred requests.
    static constexpr std::size_t capacity = 512;
    /// \brief Most crashes that a VM reports per second, counted once a part.
    static constexpr std::size_t max_reports_per_second = 8;

private:
    struct crash
    {
        state::member_key member;
        state::request_digest request;
        state::time_point at{};
        bool is_trial = false;
    };

    struct suspect
    {
        /// \brief In the order of time.
        std::vector<crash> crashes;
        state::time_point last_seen{};
        state::time_point trial_ends{};
        bool is_refused = false;
    };

    using member_set = std::unordered_set<state::member_key>;

    /// \brief Returns when the causes of a part's crashes became enough to refuse it, without those
    /// that other parts account for; none if they are not.
    [[nodiscard]] static std::optional<state::time_point>
    refusable_since(suspect const& row, member_set const& accounted);
    [[nodiscard]] static std::optional<state::time_point> next_trial(suspect const& row);
    bool add(state::prompt_part part, crash const& seen, state::time_point last_seen);
    bool clear(state::prompt_part part);
    void report(part_evidence const& evidence, state::time_point now);
    void evict_one();
    /// \brief Decides anew which parts are refused.
    void refresh();

    std::unordered_map<state::prompt_part, suspect> suspects_;
    sound_parts sound_;
    std::vector<part_evidence> unreported_;
    /// \brief Parts known to be sound here that a peer suspects, and when to report them.
    std::unordered_map<state::prompt_part, state::time_point> replies_;
    state::time_point report_window_start_{};
    std::size_t reported_in_window_ = 0;
    std::uint64_t digest_ = 0;
};

/// \brief Returns the entry VM that tries a part again, so that no two do: each VM finds the same
/// one among the same live VMs.
[[nodiscard]] state::node_id choose_trial_vm(state::prompt_part part,
                                             std::span<state::node_id const> live);

} // namespace plumdale::coordination
