#pragma once

#include "http_fetch.hpp"
#include "net.hpp"

#include <plumdale/coordination/send_gate.hpp>
#include <plumdale/protocol/dialect.hpp>

#include <chrono>
#include <functional>

/// \file
/// \brief Requests to upstreams that no caller sent: copies, releases and reports.

namespace plumdale::transport
{

/// \brief Sends orders to upstreams if the gate permits it, each on a connection of its own; used
/// on one loop.
class upstream_orders
{
public:
    using statement_handler =
        std::function<void(state::member_key, protocol::upstream_statement const&)>;

    /// \brief Connections are opened from `source`; `on_statement` is called with what each answer
    /// states about its upstream.
    upstream_orders(net::io_context& context, state::endpoint source,
                    protocol::dialect const& dialect,
                    coordination::service_directory const& directory, coordination::send_gate& gate,
                    statement_handler on_statement);

    /// \brief Sends an order and calls `handler` once, later; fails with `no_upstream` if the
    /// upstream is unknown, with `overloaded` if it asked for a back-off, with
    /// `connection_refused` if nothing listens there, and with `connection_failed`.
    void send(state::member_key member, protocol::upstream_request order,
              std::chrono::milliseconds timeout, fetch_handler handler);

    /// \brief Sends an order to where a call of the upstream was sent, whatever is listed now;
    /// returns what ends it.
    fetch_canceller send_to(state::member_key member, state::endpoint address,
                            protocol::upstream_request order, std::chrono::milliseconds timeout,
                            fetch_handler handler);

    /// \brief Longest time to connect: an order is written soon after it was decided, or not at
    /// all.
    static constexpr std::chrono::milliseconds connect_timeout{2'500};
    /// \brief Size of the largest answer to an order or a request for a report.
    static constexpr std::uint64_t max_answer_bytes = 256ULL * 1024;

private:
    void fail(state::error_kind kind, std::string_view why, fetch_handler handler);

    net::io_context& context_;
    state::endpoint source_;
    protocol::dialect const& dialect_;
    coordination::service_directory const& directory_;
    coordination::send_gate& gate_;
    statement_handler on_statement_;
};

} // namespace plumdale::transport
