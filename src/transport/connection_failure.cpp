#include "connection_failure.hpp"

#include <boost/asio/error.hpp>

#include <array>
#include <cstddef>

namespace plumdale::transport
{

connection_failure connection_failure_of(boost::system::error_code error) noexcept
{
    namespace errors = boost::asio::error;
    if (!error)
    {
        return connection_failure::none;
    }
    if (error == errors::connection_refused)
    {
        return connection_failure::refused;
    }
    if (error == errors::connection_reset || error == errors::connection_aborted)
    {
        return connection_failure::reset;
    }
    // A connection is closed at its time limit.
    if (error == errors::timed_out || error == errors::operation_aborted)
    {
        return connection_failure::timed_out;
    }
    bool const is_path = error == errors::host_unreachable || error == errors::network_unreachable;
    return is_path ? connection_failure::no_path : connection_failure::local;
}

std::string_view to_text(connection_failure failure) noexcept
{
    static constexpr std::array<std::string_view, 6> words{"",          "refused", "reset",
                                                           "timed out", "no path", "local"};
    return words[static_cast<std::size_t>(failure)];
}

} // namespace plumdale::transport
