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
    /// \brief How long the caller may read nothing while data waits to be sent.
    std::chrono::milliseconds stall_timeout{60'000};
};

/// \brief A plain page: health, metrics, operators' calls.
struct page
{
    unsigned status = 200;
    std::string type = "application/json";
    std::string body;
};

/// \brief The parts of a page's request.
struct page_request
{
    std::string_view method;
    std::string_view target;
    std::string_view authorization;
    std::string_view body;
};

using page_callback = std::function<void(page)>;

/// \brief Answers requests for pages; may be called from any thread. Returns false when the path
/// isn't a page; otherwise calls `answer` once, from any thread.
using page_handler = std::function<bool(page_request const& request, page_callback const& answer)>;

/// \brief What the sessions of one worker share.
struct session_context
{
    request_sink& requests;
    page_handler const& pages;
    session_limits limits;
    /// \brief Identifies customers for the error budget report.
    coordination::cached_reader<coordination::fleet_snapshot> fleet;
};

/// \brief Serves one connection on its worker's thread until it ends.
void serve_caller(worker& caller_worker, session_context& context, tcp::socket socket);

/// \brief Refuses a connection above the connection limit with an answer, and closes it.
void refuse_caller(tcp::socket socket);

} // namespace plumdale::transport
