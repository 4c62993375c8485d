#pragma once

/// \file
/// \brief Forward declarations of the transport layer.

namespace plumdale::transport
{

class daemon;
struct daemon_outcome;

} // namespace plumdale::transport
