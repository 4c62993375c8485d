#pragma once

#include "request_sink.hpp"
#include "worker.hpp"

#include <plumdale/coordination/fleet_snapshot.hpp>
#include <plumdale/coordination/published.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief One caller's HTTP connection.

namespace plumdale::transport
{

/// \brief Bounds on one connection.
struct session_limits
{
    std::uint32_t header = 16 * 1024;
    std::uint32_t body = 1024 * 1024;
    /// \brief Bytes waiting to be sent above which the upstream is paused.
    std::uint32_t buffer = 16 * 1024;
    /// \brief How long a connection may be idle between requests.
    std::chrono::milliseconds keep_alive_timeout{60'000};
    /// \brief How long a head, and then a body, may take from its first byte to its last.
    std::chrono::milliseconds read_timeout{10'000};
    /// \brief How long the caller may take nothing of what waits for it.
    std::chrono::milliseconds stall_timeout{60'000};
};

/// \brief A plain page: health, metrics, operators' calls.
struct page
{
    unsigned status = 200;
    std::string type = "application/json";
    std::string body;
};

/// \brief What a page's request says.
struct page_request
{
    std::string_view method;
    std::string_view target;
    std::string_view authorization;
    std::string_view body;
};

using page_callback = std::function<void(page)>;

/// \brief Answers paths that are no generations, on any thread. Returns false when the path is not
/// one of its own; else calls `answer` once, from any thread.
using page_handler = std::function<bool(page_request const& request, page_callback const& answer)>;

/// \brief What the sessions of one worker share.
struct session_context
{
    request_sink& requests;
    page_handler const& pages;
    session_limits limits;
    /// \brief Names customers for the burn report.
    coordination::cached_reader<coordination::fleet_snapshot> fleet;
};

/// \brief Serves one connection on its worker's thread until it ends.
void serve_caller(worker& caller_worker, session_context& context, tcp::socket socket);

/// \brief Answers a connection above the limit on connections, and ends it.
void refuse_caller(tcp::socket socket);

} // namespace plumdale::transport
