#pragma once

#include "platform/platform_dialect.hpp"
#include "transport/caller_channel.hpp"
#include "transport/forward_call.hpp"
#include "transport/forward_core.hpp"
#include "transport/net.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Fixture with one entry VM, scripted callers and scripted upstreams on one event loop.

namespace plumdale::test
{

/// \brief A connection of a scripted upstream; collects the bytes that it receives.
class scripted_connection : public std::enable_shared_from_this<scripted_connection>
{
public:
    explicit scripted_connection(transport::tcp::socket socket) : socket_{std::move(socket)} {}

    void read();
    void send(std::string_view bytes);
    /// \brief Sends more than the system holds while the loop runs.
    void send_large(std::string bytes);
    /// \brief Shuts down the sending side.
    void close();
    /// \brief Closes the connection with a reset.
    void reset();
    /// \brief Leaves what arrives to the system, which soon has no room for more.
    void pause_reading();
    void resume_reading();
    /// \brief Has all packets that arrive dropped, like a path that is lost.
    void lose_path();

    std::string received;
    bool ended = false;
    /// \brief Requests that `scripted_upstream::take_unanswered` returned.
    std::size_t taken = 0;

private:
    transport::tcp::socket socket_;
    std::array<char, 8192> buffer_{};
    std::string outgoing_;
    bool is_paused_ = false;
    bool is_reading_ = false;
};

/// \brief A listening upstream; the test sends its answers.
class scripted_upstream
{
public:
    scripted_upstream(transport::net::io_context& context, std::string name, std::string zone);

    [[nodiscard]] state::service_member make_member(std::string service,
                                                    std::uint64_t revision) const;
    /// \brief Connections whose requests hold `text`.
    [[nodiscard]] std::vector<std::shared_ptr<scripted_connection>>
    connections_with(std::string_view text) const;
    /// \brief Returns the connection of each request that holds `text` and was not returned before.
    [[nodiscard]] std::vector<std::shared_ptr<scripted_connection>>
    take_unanswered(std::string_view text);
    /// \brief Returns the number of calls that arrived, on all connections.
    [[nodiscard]] std::size_t call_count() const;

    /// \brief Accepts no further connections; those that are open live on.
    void stop_listening();
    /// \brief Resets all connections and accepts no further ones, like a process that crashed.
    void crash();

    std::vector<std::shared_ptr<scripted_connection>> connections;

private:
    void accept();

    std::string name_;
    std::string zone_;
    transport::tcp::acceptor acceptor_;
    state::endpoint address_;
};

/// \brief A caller's connection.
using scripted_caller = scripted_connection;

/// \brief The entry VM under test with two upstreams of a plain service and `engines` engines.
class forward_fixture
{
public:
    /// \brief Upstreams of the plain service; the others are engines.
    static constexpr std::size_t plain_upstreams = 2;

    explicit forward_fixture(int engines = 3);
    ~forward_fixture();

    /// \brief Sends a call on a new connection.
    std::shared_ptr<scripted_caller> call(std::string_view path, std::string_view id,
                                          std::string_view more_fields = {},
                                          std::string_view body = {});
    /// \brief Sends a call whose body of `size` bytes arrives while the loop runs.
    std::shared_ptr<scripted_caller> upload(std::string_view path, std::string_view id,
                                            std::size_t size, std::string_view more_fields = {});
    /// \brief Where callers connect.
    [[nodiscard]] transport::tcp::endpoint caller_address() const
    {
        return caller_acceptor_.local_endpoint();
    }
    /// \brief Refuses what has no answer, as the daemon does when its grace is nearly over.
    void end_grace();
    /// \brief Closes all callers' channels, as the daemon does as it ends.
    void cut_channels();
    /// \brief Runs the loop until `condition` holds; fails after ten seconds.
    void run_until(std::function<bool()> const& condition);
    /// \brief Returns the only connection of any upstream whose request holds `text`.
    std::shared_ptr<scripted_connection> upstream_connection(std::string_view text);
    /// \brief Returns the upstream that has a connection whose request holds `text`.
    scripted_upstream& upstream_of(std::string_view text);
    [[nodiscard]] std::size_t request_count(std::string_view text) const;

    transport::net::io_context context;
    protocol::forward_settings settings;
    platform::platform_dialect dialect;
    transport::decision_log log;
    transport::forward_core core;
    /// \brief Limits of the callers' channels.
    state::caller_limits limits;
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;

private:
    void accept();

    transport::tcp::acceptor caller_acceptor_;
    std::vector<std::shared_ptr<transport::caller_channel>> channels_;
};

/// \brief Returns the text of a call as `forward_fixture::call` sends it.
[[nodiscard]] std::string call_text(std::string_view path, std::string_view id,
                                    std::string_view more_fields = {}, std::string_view body = {});
/// \brief Returns a complete answer of an upstream; `more_fields` may hold its signature.
[[nodiscard]] std::string answer_text(unsigned status, std::string_view id, std::string_view body,
                                      std::string_view more_fields = {});
/// \brief Returns the head of a stream of events in chunks.
[[nodiscard]] std::string stream_head(std::string_view id);
/// \brief Returns an event as a chunk.
[[nodiscard]] std::string event_chunk(std::uint64_t id);

} // namespace plumdale::test
