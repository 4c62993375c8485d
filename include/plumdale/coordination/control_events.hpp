#pragma once

#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/request_events.hpp>
#include <plumdale/state/content_ref.hpp>
#include <plumdale/state/customer.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/engine_order.hpp>
#include <plumdale/state/load_report.hpp>
#include <plumdale/state/operator_account.hpp>
#include <plumdale/state/preset.hpp>
#include <plumdale/state/time.hpp>
#include <plumdale/state/upstream.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// \file
/// \brief Events that the transport reports to the control plane.

namespace plumdale::coordination
{

/// \brief The switch as the configuration service holds it (key `switch`).
struct switch_published
{
    std::uint64_t revision = 0;
    state::preset_id preset;
};

/// \brief One preset's content (key `presets/<name>`).
struct preset_published
{
    std::uint64_t revision = 0;
    state::preset content;
    /// \brief The value's text as published, which is hashed and sent to peers.
    std::shared_ptr<std::string const> text;
};

/// \brief The customers (key `customers`).
struct customers_published
{
    std::uint64_t revision = 0;
    std::vector<state::customer> customers;
    std::shared_ptr<std::string const> text;
};

/// \brief The operators (key `operators`).
struct operators_published
{
    std::uint64_t revision = 0;
    std::vector<state::operator_account> operators;
    std::shared_ptr<std::string const> text;
};

/// \brief A configuration read succeeded; its changes were reported before this event.
struct configuration_read
{
    /// \brief The service's newest revision; one older than before means that the service is stale.
    std::uint64_t revision = 0;
};

/// \brief The platform's list of VMs, which may lag.
struct vm_list_read
{
    std::vector<state::upstream> upstreams;
    /// \brief Datagram endpoints of entry VMs.
    std::vector<state::endpoint> entry_vms;
};

/// \brief A read of the configuration failed; the service may be down.
struct configuration_read_failed
{
};

/// \brief A read of the VM list failed.
struct vm_list_failed
{
};

/// \brief An authentic datagram arrived from a peer.
struct datagram_received
{
    state::endpoint from;
    peer_message message;
};

/// \brief An operator asks for a switch; answered by `answer_operator`, at the latest after
/// `node_settings::switch_wait`.
struct operator_switch
{
    state::exchange_handle exchange;
    state::sha256_digest key{};
    state::preset_id preset;
    /// \brief Published revision that the switch overrides, even if this VM has not seen it; zero
    /// for the one known here.
    std::uint64_t over_revision = 0;
};

/// \brief A peer asks for a configuration value; answered by `send_content`.
struct content_requested
{
    state::exchange_handle exchange;
    state::content_ref content;
};

/// \brief A peer did not send the value that `request_content` asked for.
struct content_unavailable
{
    state::node_id peer;
    state::content_ref content;
};

/// \brief An upstream announced that it is leaving.
struct upstream_leaving
{
    state::upstream_id upstream;
    state::incarnation incarnation_number;
};

/// \brief An engine reported which order it follows, after `read_order` or `send_order`.
struct order_read
{
    state::upstream_id upstream;
    state::engine_order order;
};

/// \brief An engine did not answer `read_order` or `send_order`.
struct order_failed
{
    state::upstream_id upstream;
};

/// \brief An engine reported its load.
struct load_reported
{
    state::load_report report;
};

/// \brief An upstream could not be reached for its report.
struct load_unavailable
{
    state::upstream_id upstream;
};

/// \brief SIGTERM, or an operator's drain.
struct drain_requested
{
};

using control_event =
    std::variant<switch_published, preset_published, customers_published, operators_published,
                 configuration_read, configuration_read_failed, vm_list_read, vm_list_failed,
                 datagram_received, operator_switch, content_requested, content_unavailable,
                 upstream_leaving, order_read, order_failed, load_reported, load_unavailable,
                 drain_requested, process_paused, deadline_reached>;

} // namespace plumdale::coordination
