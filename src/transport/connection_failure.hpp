#pragma once

#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string_view>

/// \file
/// \brief Why a connection could not be opened.

namespace plumdale::transport
{

/// \brief Reasons that call for different remedies.
enum class connection_failure : std::uint8_t
{
    none,
    refused,   ///< Nothing listens at the address, or something on the path refuses.
    reset,     ///< Accepted and ended before a byte was sent.
    timed_out, ///< No answer before its time limit: the path or the upstream is silent.
    no_path,   ///< This VM's network knows no way there.
    local      ///< This VM itself could not open it, as without a free descriptor or port.
};

/// \brief Returns the reason that an error of connecting means.
[[nodiscard]] connection_failure connection_failure_of(boost::system::error_code error) noexcept;

/// \brief Returns the word for a reason in log lines; empty for `none`.
[[nodiscard]] std::string_view to_text(connection_failure failure) noexcept;

} // namespace plumdale::transport
