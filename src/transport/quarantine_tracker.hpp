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

/// \brief Keeps the quarantine, logs what it changes, and has peers told; on one loop.
class quarantine_tracker
{
public:
    quarantine_tracker(decision_log& log, forward_metrics& metrics);

    /// \brief The connection of an upstream that was sent the request ended before its answer.
    void upstream_ended(request_attempt const& attempt, state::member_key member,
                        std::string_view name);
    /// \brief An upstream answered the request whole.
    void answered(request_attempt const& attempt);
    /// \brief Takes what a peer tells.
    void apply_updates(std::span<coordination::request_evidence const> received);
    /// \brief Returns whether a request is refused now.
    [[nodiscard]] bool refuses(state::request_digest request);
    /// \brief Does what is due.
    void sweep();

    [[nodiscard]] coordination::request_quarantine& known() noexcept
    {
        return known_;
    }
    [[nodiscard]] coordination::request_quarantine const& known() const noexcept
    {
        return known_;
    }

    /// \brief Called when peers are to be told something.
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
