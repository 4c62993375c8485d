#pragma once

/// \file
/// \brief Forward declarations of the coordination layer.

namespace plumdale::coordination
{

class control_plane;
class dispatch_policy;
class entry_node;
class identity_signer;
class request_shard;
struct fleet_snapshot;
struct node_settings;
struct upstream_gauge;
struct upstream_view;
template <class T>
class cached_reader;
template <class T>
class published;

} // namespace plumdale::coordination
