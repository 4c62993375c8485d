#pragma once

#include "content_source.hpp"
#include "peer_link.hpp"
#include "request_sink.hpp"
#include "worker.hpp"

#include <memory>
#include <unordered_map>

/// \file
/// \brief The owner's side: serves relaying peers as callers.

namespace plumdale::transport
{

/// \brief The links that peers opened to one worker. On that worker's thread.
class relay_server
{
public:
    relay_server(worker& own_worker, request_sink& requests, content_source& content,
                 link_settings const& settings);
    relay_server(relay_server const&) = delete;
    relay_server& operator=(relay_server const&) = delete;
    ~relay_server();

    /// \brief Serves an accepted connection until it ends.
    void serve(tcp::socket socket);

private:
    class session;

    worker& own_worker_;
    request_sink& requests_;
    content_source& content_;
    link_settings settings_;
    std::uint64_t last_session_id_ = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<session>> sessions_;
};

} // namespace plumdale::transport
