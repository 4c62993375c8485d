#pragma once

#include <cstdint>

/// \file
/// \brief Forward declarations of the protocol layer.

namespace plumdale::protocol
{

enum class caller_event : std::uint8_t;
class event_data_splitter;
class link_authenticator;
struct error_budget_names;
struct http_request_view;
struct configuration_changes;
struct daemon_settings;
struct engine_done;
struct engine_start;
struct engine_token;
struct error_details;
struct event_id;
struct link_content;
struct link_frame;
struct link_heartbeat;
struct link_hello;
struct node_status;
struct settings_error;
struct switch_request;

} // namespace plumdale::protocol
