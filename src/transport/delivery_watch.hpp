#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>

/// \file
/// \brief Tells a receiver that acknowledges and doesn't read from a path that is lost.

namespace plumdale::transport
{

/// \brief What becomes of the bytes that were written to a connection.
enum class delivery : std::uint8_t
{
    unknown,   ///< The system doesn't tell.
    complete,  ///< All are acknowledged.
    underway,  ///< The receiver acknowledges what it is sent, though it may take no more.
    path_lost, ///< Nothing was acknowledged for the time that a lost path is waited for.
};

/// \brief Follows the acknowledgements of a connection.
///
/// The system's own limit (TCP_USER_TIMEOUT) also ends a connection whose receiver has no room for
/// more and says so.
class delivery_watch
{
public:
    explicit delivery_watch(state::duration lost_after) noexcept : lost_after_{lost_after} {}

    /// \brief Looks at a connection. To be called several times within `lost_after`.
    [[nodiscard]] delivery look(int socket, state::time_point now) noexcept;

private:
    state::duration lost_after_;
    /// \brief Since when an acknowledgement is awaited; `state::never` if none is.
    state::time_point awaiting_since_ = state::never;
};

/// \brief Sets how long the system waits for written bytes to be acknowledged and taken.
void set_delivery_limit(int socket, state::duration limit) noexcept;

} // namespace plumdale::transport
