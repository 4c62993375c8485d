#include "forward_fixture.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <fcntl.h>
#include <linux/filter.h>
#include <sys/socket.h>

namespace plumdale::test
{
namespace
{

namespace net = transport::net;
using transport::tcp;

constexpr std::string_view configuration =
    R"({"version":3,"routes":[)"
    R"({"name":"fetch","host":"a.example","prefix":"/fetch/","routeType":"idempotent","timeoutMs":1500,)"
    R"("targetLatencyMs":150,"maxAttempts":2,"service":"plain"},)"
    R"({"name":"event","host":"a.example","prefix":"/event/","routeType":"non_idempotent","timeoutMs":1500,)"
    R"("targetLatencyMs":150,"maxAttempts":1,"service":"plain"},)"
    R"({"name":"short","host":"a.example","prefix":"/short/","routeType":"non_idempotent","timeoutMs":200,)"
    R"("targetLatencyMs":150,"maxAttempts":1,"service":"plain"},)"
    R"({"name":"draft","host":"a.example","prefix":"/draft/","routeType":"streaming","timeoutMs":39000,)"
    R"("targetLatencyMs":1800,"targetGapMs":180,"maxAttempts":1,"service":"engine"},)"
    R"({"name":"ask","host":"a.example","prefix":"/ask/","routeType":"idempotent","timeoutMs":4000,)"
    R"("targetLatencyMs":1800,"maxAttempts":2,"service":"engine"}],)"
    R"("services":[{"name":"plain"},{"name":"engine","inferenceEngine":{"slots":24,"kvCapacityTokens":34288,)"
    R"("kvBytes":131072,"linkMbps":19000.0,"migrations":true,"backups":true,"stride":4,"handleTtlS":5.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"customer","apiKeys":["key"]}]})";

protocol::forward_settings fixture_settings()
{
    protocol::forward_settings settings;
    settings.name = "vm";
    settings.zone = "a";
    settings.datagrams = {0x7f000001, 7200};
    // Its calls pay for their retries: a VM that has just started has no part of the slack.
    settings.retry_limit = {10.0, 0.0, std::chrono::seconds{10}};
    return settings;
}

int null_descriptor()
{
    static int const descriptor = ::open("/dev/null", O_WRONLY);
    return descriptor;
}

} // namespace

// -- scripted_connection --------------------------------------------------------------------------

void scripted_connection::read()
{
    if (is_paused_ || is_reading_)
    {
        return;
    }
    is_reading_ = true;
    socket_.async_read_some(
        net::buffer(buffer_),
        [self = shared_from_this()](boost::system::error_code error, std::size_t bytes)
        {
            self->is_reading_ = false;
            self->received.append(self->buffer_.data(), bytes);
            self->ended = static_cast<bool>(error);
            if (!error)
            {
                self->read();
            }
        });
}

void scripted_connection::pause_reading()
{
    is_paused_ = true;
}

void scripted_connection::resume_reading()
{
    is_paused_ = false;
    read();
}

void scripted_connection::lose_path()
{
    sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog const program{1, &drop};
    REQUIRE(::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                         sizeof(program)) == 0);
}

void scripted_connection::send(std::string_view bytes)
{
    boost::system::error_code ignored;
    net::write(socket_, net::buffer(bytes), ignored);
}

void scripted_connection::send_large(std::string bytes)
{
    outgoing_ = std::move(bytes);
    net::async_write(socket_, net::buffer(outgoing_),
                     [self = shared_from_this()](boost::system::error_code, std::size_t) {});
}

void scripted_connection::close()
{
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void scripted_connection::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(net::socket_base::linger{true, 0}, ignored);
    socket_.close(ignored);
}

// -- scripted_upstream ----------------------------------------------------------------------------

scripted_upstream::scripted_upstream(net::io_context& context, std::string name, std::string zone)
    : name_{std::move(name)}, zone_{std::move(zone)},
      acceptor_{context, tcp::endpoint{net::ip::address_v4::loopback(), 0}},
      address_{transport::from_tcp(acceptor_.local_endpoint())}
{
    accept();
}

void scripted_upstream::stop_listening()
{
    acceptor_.close();
}

void scripted_upstream::crash()
{
    stop_listening();
    for (auto const& each : connections)
    {
        each->reset();
    }
}

void scripted_upstream::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (!error)
            {
                connections.push_back(std::make_shared<scripted_connection>(std::move(socket)));
                connections.back()->read();
                accept();
            }
        });
}

state::service_member scripted_upstream::make_member(std::string service,
                                                     std::uint64_t revision) const
{
    state::service_member member;
    member.name = name_;
    member.service = std::move(service);
    member.zone = zone_;
    member.slots = 24;
    member.address = address_;
    member.revision = revision;
    return member;
}

std::vector<std::shared_ptr<scripted_connection>>
scripted_upstream::connections_with(std::string_view text) const
{
    std::vector<std::shared_ptr<scripted_connection>> found;
    for (auto const& each : connections)
    {
        if (each->received.find(text) != std::string::npos)
        {
            found.push_back(each);
        }
    }
    return found;
}

std::vector<std::shared_ptr<scripted_connection>>
scripted_upstream::take_unanswered(std::string_view text)
{
    std::vector<std::shared_ptr<scripted_connection>> found;
    for (auto const& each : connections)
    {
        std::size_t arrived = 0;
        for (std::size_t at = each->received.find(text); at != std::string::npos;
             at = each->received.find(text, at + 1))
        {
            ++arrived;
        }
        found.insert(found.end(), arrived - each->taken, each);
        each->taken = arrived;
    }
    return found;
}

std::size_t scripted_upstream::call_count() const
{
    constexpr std::string_view mark = "Plumdale-Request-Id: ";
    std::size_t count = 0;
    for (auto const& each : connections)
    {
        for (std::size_t at = each->received.find(mark); at != std::string::npos;
             at = each->received.find(mark, at + 1))
        {
            ++count;
        }
    }
    return count;
}

// -- forward_fixture ------------------------------------------------------------------------------

forward_fixture::forward_fixture(int engines)
    : settings{fixture_settings()}, log{null_descriptor(), "vm"}, core{context, settings, dialect,
                                                                       log},
      caller_acceptor_{context, tcp::endpoint{net::ip::address_v4::loopback(), 0}}
{
    std::vector<state::service_member> members;
    constexpr int plain = plain_upstreams;
    for (int i = 0; i < plain + engines; ++i)
    {
        upstreams.push_back(
            std::make_unique<scripted_upstream>(context, "i-" + std::to_string(i), "a"));
        members.push_back(upstreams.back()->make_member(i < plain ? "plain" : "engine", 1));
    }
    core.apply_configuration(std::string{configuration}, "test");
    core.apply_list(members, {}, 1, "test");
    accept();
}

forward_fixture::~forward_fixture()
{
    cut_channels();
    context.restart();
    context.poll();
}

void forward_fixture::cut_channels()
{
    for (auto const& channel : channels_)
    {
        channel->close_now();
    }
}

void forward_fixture::accept()
{
    caller_acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            channels_.push_back(std::make_shared<transport::caller_channel>(
                std::move(socket),
                [this]
                {
                    transport::channel_options options;
                    options.limits = limits;
                    options.closing = core.closing_since != state::never;
                    return options;
                },
                [this](std::shared_ptr<transport::caller_channel> const& channel,
                       transport::received_call call)
                { return transport::start_call(core, channel, std::move(call)); },
                [](transport::caller_channel&) {}));
            channels_.back()->start();
            accept();
        });
}

std::shared_ptr<scripted_caller> forward_fixture::call(std::string_view path, std::string_view id,
                                                       std::string_view more_fields,
                                                       std::string_view body)
{
    tcp::socket socket{context};
    socket.connect(caller_acceptor_.local_endpoint());
    auto const caller = std::make_shared<scripted_caller>(std::move(socket));
    caller->send(call_text(path, id, more_fields, body));
    caller->read();
    return caller;
}

std::shared_ptr<scripted_caller> forward_fixture::upload(std::string_view path, std::string_view id,
                                                         std::size_t size,
                                                         std::string_view more_fields)
{
    tcp::socket socket{context};
    socket.connect(caller_acceptor_.local_endpoint());
    auto const caller = std::make_shared<scripted_caller>(std::move(socket));
    caller->send_large(call_text(path, id, more_fields, std::string(size, 'x')));
    caller->read();
    return caller;
}

void forward_fixture::end_grace()
{
    for (auto const& channel : channels_)
    {
        channel->end_unanswered_call();
    }
}

void forward_fixture::run_until(std::function<bool()> const& condition)
{
    auto const limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (!condition())
    {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        context.restart();
        context.run_one_for(std::chrono::milliseconds{20});
    }
}

std::size_t forward_fixture::request_count(std::string_view text) const
{
    std::size_t count = 0;
    for (auto const& upstream : upstreams)
    {
        count += upstream->connections_with(text).size();
    }
    return count;
}

scripted_upstream& forward_fixture::upstream_of(std::string_view text)
{
    run_until([this, text] { return request_count(text) > 0; });
    for (auto const& upstream : upstreams)
    {
        if (!upstream->connections_with(text).empty())
        {
            return *upstream;
        }
    }
    throw std::logic_error{"no upstream"};
}

std::shared_ptr<scripted_connection> forward_fixture::upstream_connection(std::string_view text)
{
    return upstream_of(text).connections_with(text).front();
}

// -- texts ----------------------------------------------------------------------------------------

std::string call_text(std::string_view path, std::string_view id, std::string_view more_fields,
                      std::string_view body)
{
    std::string text = "POST " + std::string{path} + " HTTP/1.1\r\nHost: a.example\r\n";
    text += "Plumdale-Request-Id: " + std::string{id} + "\r\nPlumdale-Key: key\r\n";
    text += std::string{more_fields};
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{body};
}

std::string answer_text(unsigned status, std::string_view id, std::string_view body,
                        std::string_view more_fields)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " Text\r\nPlumdale-Request-Id: " + std::string{id} + "\r\n" + std::string{more_fields} +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{body};
}

std::string stream_head(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nPlumdale-Request-Id: " + std::string{id} +
           "\r\nPlumdale-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string event_chunk(std::uint64_t id)
{
    std::string const event =
        "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

} // namespace plumdale::test
