#pragma once

#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/switch_answer.hpp>
#include <plumdale/state/content_ref.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/engine_order.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Actions that the control plane requests from the transport.

namespace plumdale::coordination
{

/// \brief Read the changes of the configuration after a revision; ends with `configuration_read`
/// or `configuration_read_failed`. At most one is outstanding.
struct read_configuration
{
    std::uint64_t after = 0;
    /// \brief How long the service may wait for a change.
    state::duration wait{};
};

/// \brief Read the platform's list of VMs.
struct read_vm_list
{
};

/// \brief Ask an engine for its load.
struct read_load
{
    state::upstream_id upstream;
    state::endpoint address;
};

/// \brief Encode, sign and send a datagram.
struct send_datagram
{
    state::endpoint to;
    peer_message message;
};

/// \brief Answer a waiting operator.
struct answer_operator
{
    state::exchange_handle exchange;
    switch_answer answer;
};

/// \brief Fetch a configuration value from a peer over a stream; the decoded value arrives as
/// `preset_published` and so on, a failure as `content_unavailable`.
struct request_content
{
    state::node_id peer;
    state::endpoint streams;
    state::content_ref content;
};

/// \brief Answer a peer's `content_requested`; `text` is null when this version is not held.
struct send_content
{
    state::exchange_handle exchange;
    state::content_ref content;
    /// \brief Key as in the configuration service, such as `presets/peak`.
    std::string key;
    std::shared_ptr<std::string const> text;
};

/// \brief Ask an engine which order it follows; the answer is `order_read`.
struct read_order
{
    state::upstream_id upstream;
    state::endpoint address;
};

/// \brief Send an engine an order; the order that it then follows arrives as `order_read`.
struct send_order
{
    state::upstream_id upstream;
    state::endpoint address;
    state::engine_order order;
};

/// \brief Peers know a later incarnation at this address. This process takes no new work; a daemon
/// without requests in flight restarts with an incarnation greater than `newest`.
struct incarnation_replaced
{
    state::incarnation newest;
};

/// \brief The drain is over: the process may end.
struct drain_finished
{
    /// \brief Requests still in flight; zero unless the drain timed out.
    std::uint32_t in_flight = 0;
};

using control_action = std::variant<read_configuration, read_vm_list, read_load, send_datagram,
                                    answer_operator, request_content, send_content, read_order,
                                    send_order, incarnation_replaced, drain_finished>;

/// \brief Caller-owned buffer that the control plane appends its actions to.
using control_actions = std::vector<control_action>;

} // namespace plumdale::coordination
