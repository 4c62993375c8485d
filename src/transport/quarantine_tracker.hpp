#pragma once

#include "decision_log.hpp"
#include "forward_metrics.hpp"

#include <plumdale/coordination/request_quarantine.hpp>

#include <functional>
#include <span>
#include <string_view>
#include <vector>

/// \file
/// \brief Which requests are refused because upstreams end as they run them.

namespace plumdale::transport
{

/// \brief An attempt at a request, for log lines.
struct request_attempt
{
    state::request_digest request;
    std::string_view id;
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
    /// \brief Records that an upstream answered the request completely.
    void answered(request_attempt const& attempt);
    /// \brief Applies the evidence that a peer sent.
    void apply_updates(std::span<coordination::request_evidence const> received);
    /// \brief Returns whether a request is refused now.
    [[nodiscard]] bool refuses(state::request_digest request);
    /// \brief Removes old evidence and announces what is not yet reported.
    void sweep();

    [[nodiscard]] coordination::request_quarantine& known() noexcept
    {
        return known_;
    }
    [[nodiscard]] coordination::request_quarantine const& known() const noexcept
    {
        return known_;
    }

    /// \brief Called when there may be evidence to announce to peers.
    std::function<void()> on_changed = [] {
    };

private:
    void log_change(std::string_view decision, request_attempt const& attempt,
                    std::string_view upstream, std::string_view source);

    decision_log& log_;
    forward_metrics& metrics_;
    coordination::request_quarantine known_;
};

} // namespace plumdale::transport
