#pragma once

#include <plumdale/protocol/dialect.hpp>
#include <plumdale/protocol/forward_settings.hpp>
#include <plumdale/state/result.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// \brief The process of an entry VM that forwards calls.

namespace plumdale::transport
{

/// \brief Reads the settings file again; returns none when it can't be read or is invalid.
using settings_source = std::function<std::optional<protocol::forward_settings>()>;

/// \brief Serves callers in a platform's dialect until the shutdown after SIGTERM is complete.
class forwarder
{
public:
    forwarder(protocol::forward_settings settings, protocol::dialect const& platform_dialect,
              settings_source reread);
    forwarder(forwarder const&) = delete;
    forwarder& operator=(forwarder const&) = delete;
    ~forwarder();

    /// \brief Opens the sockets. Fails with `connection_failed` when an address is taken.
    [[nodiscard]] state::result<void> open();
    /// \brief Serves until shutdown; returns the number of calls cut off at the end of the grace
    /// period.
    std::uint32_t run();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace plumdale::transport
