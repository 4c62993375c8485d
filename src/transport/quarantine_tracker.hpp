#pragma once

#include "connection_failure.hpp"
#include "decision_log.hpp"
#include "forward_metrics.hpp"

#include <plumdale/coordination/call_quarantine.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Which calls are refused because upstreams end as they run them.

namespace plumdale::transport
{

/// \brief An attempt at a request.
struct request_attempt
{
    coordination::call_content content;
    /// \brief Its id, for log lines.
    std::string_view id;
    /// \brief It tries a refused part.
    bool is_trial = false;
};

/// \brief Keeps the quarantine, logs its changes, and has them announced to peers; used on one
/// loop.
class quarantine_tracker
{
public:
    quarantine_tracker(decision_log& log, forward_metrics& metrics);

    /// \brief Records that an upstream's connection ended before it answered the request.
    void upstream_ended(request_attempt const& attempt, state::member_key member,
                        std::string_view name);
    /// \brief Records how a connection to an upstream went that was opened for `on_end_in_doubt`;
    /// `is_up` if that says nothing against the upstream.
    void end_checked(state::member_key member, bool is_up);
    /// \brief Records that an upstream answered the request completely.
    void answered(request_attempt const& attempt);
    /// \brief Records that an upstream goes on after it began to answer the request.
    void answer_goes_on(request_attempt const& attempt);
    /// \brief Applies the evidence that a peer sent.
    void apply_updates(std::span<coordination::request_evidence const> received);
    void apply_updates(std::span<coordination::part_evidence const> received,
                       state::duration reply_delay);
    /// \brief Returns whether a call is refused now.
    [[nodiscard]] bool refuses(coordination::call_content const& content);
    /// \brief Returns whether a call that tries a part is refused now.
    [[nodiscard]] bool refuses_request(state::request_digest request);
    /// \brief Returns the part that a refused call may be sent to try, if any.
    [[nodiscard]] std::optional<state::prompt_part>
    due_trial(coordination::call_content const& content);
    /// \brief Records that this VM tries a part.
    void begin_trial(request_attempt const& attempt, state::prompt_part part);
    void end_trial(state::prompt_part part);
    /// \brief Records that a call goes to the VM that tries its part.
    void hand_over_trial(state::prompt_part part);
    /// \brief Removes old evidence and announces what is not yet reported.
    void sweep();

    [[nodiscard]] coordination::call_quarantine& known() noexcept
    {
        return known_;
    }
    [[nodiscard]] coordination::call_quarantine const& known() const noexcept
    {
        return known_;
    }

    /// \brief Called when there may be evidence to announce to peers.
    std::function<void()> on_changed = [] {
    };
    /// \brief Called when a connection ended that may mean that its upstream crashed; answered
    /// with `end_checked`.
    std::function<void(state::member_key)> on_end_in_doubt = [](state::member_key /*member*/) {
    };

private:
    /// \brief A request whose upstream may have crashed as it began to answer.
    struct end_in_doubt
    {
        state::request_digest request;
        std::vector<state::prompt_part> parts;
        std::string id;
        std::string upstream;
        bool is_trial = false;
    };

    void log_change(std::string_view decision, request_attempt const& attempt,
                    std::string_view upstream, std::string_view source);
    void log_part(std::string_view decision, state::prompt_part part, std::string_view id,
                  std::string_view upstream, std::string_view source);
    void record_crash(end_in_doubt const& end, state::member_key member);
    void record_sound(request_attempt const& attempt);

    decision_log& log_;
    forward_metrics& metrics_;
    coordination::call_quarantine known_;
    std::unordered_map<state::member_key, std::vector<end_in_doubt>> in_doubt_;
};

} // namespace plumdale::transport
