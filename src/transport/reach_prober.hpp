#pragma once

#include "connection_failure.hpp"
#include "net.hpp"

#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <vector>

/// \file
/// \brief Connects to upstreams to see whether this VM has a path to any.

namespace plumdale::transport
{

class forward_core;

/// \brief Opens the connections that `upstream_reach` asks for; they are kept for calls.
class reach_prober
{
public:
    explicit reach_prober(forward_core& core) noexcept : core_{core} {}

    /// \brief Probes when probes are due; called several times a second and after each failure.
    void advance(state::time_point now);
    /// \brief Connects to an upstream that may be gone; tells nothing of the other paths.
    void probe_suspect(state::member_key member);
    /// \brief Connects to an upstream whose connection ended, for the quarantine.
    void probe_end(state::member_key member);
    /// \brief Connects to upstreams of a zone, chosen at random.
    void probe_zone(state::zone_id zone, std::size_t count, state::time_point now);

private:
    /// \brief Returns `count` upstreams at random, of each service in turn: one service may be dead
    /// as a whole.
    [[nodiscard]] std::vector<state::member_key> choose(std::size_t count, state::time_point now);
    [[nodiscard]] std::optional<state::member_key>
    choose_of(state::service const& service, std::span<state::member_key const> chosen,
              state::time_point now);
    void probe(state::member_key member);
    /// \brief Connects within the time limit and calls `on_end` with the failure, or with none.
    void connect(state::member_key member, std::function<void(connection_failure)> const& on_end);

    forward_core& core_;
    /// \brief The service whose upstreams the next round begins with.
    std::size_t first_service_ = 0;
};

} // namespace plumdale::transport
