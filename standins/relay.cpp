#include "commands.hpp"
#include "http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <iostream>
#include <memory>

namespace plumdale::standins
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

enum class relay_mode : std::uint8_t
{
    pass,
    stall,   ///< Nothing is read until the mode changes.
    swallow, ///< Data is discarded: the connection stays open and is silent for good.
};

/// One connection through the relay, in both directions.
class relay_connection : public std::enable_shared_from_this<relay_connection>
{
public:
    explicit relay_connection(tcp::socket client)
        : client_{std::move(client)}, server_{client_.get_executor()}
    {
    }

    void start(tcp::endpoint const& to, relay_mode mode)
    {
        mode_ = mode;
        server_.async_connect(to,
                              [self = shared_from_this()](error_code failed)
                              {
                                  if (failed)
                                  {
                                      self->cut();
                                      return;
                                  }
                                  self->forward(self->to_server_);
                                  self->forward(self->to_client_);
                              });
    }

    void set_mode(relay_mode mode)
    {
        if (mode_ == relay_mode::swallow)
        {
            return;
        }
        mode_ = mode;
        resume(to_server_);
        resume(to_client_);
    }

    void cut()
    {
        error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
    }

    [[nodiscard]] bool open() const
    {
        return client_.is_open();
    }

private:
    struct direction
    {
        tcp::socket* from;
        tcp::socket* to;
        std::array<char, 16'384> buffer{};
        bool paused = false;
    };

    void resume(direction& flow)
    {
        if (flow.paused && mode_ != relay_mode::stall)
        {
            flow.paused = false;
            forward(flow);
        }
    }

    void forward(direction& flow)
    {
        if (mode_ == relay_mode::stall)
        {
            flow.paused = true;
            return;
        }
        flow.from->async_read_some(
            asio::buffer(flow.buffer),
            [self = shared_from_this(), &flow](error_code failed, std::size_t size)
            { self->on_read(flow, failed, size); });
    }

    void on_read(direction& flow, error_code failed, std::size_t size)
    {
        if (mode_ == relay_mode::swallow)
        {
            if (!failed)
            {
                forward(flow);
            }
            return;
        }
        if (failed)
        {
            cut();
            return;
        }
        asio::async_write(*flow.to, asio::buffer(flow.buffer.data(), size),
                          [self = shared_from_this(), &flow](error_code broken, std::size_t)
                          {
                              if (broken)
                              {
                                  self->cut();
                                  return;
                              }
                              self->forward(flow);
                          });
    }

    tcp::socket client_;
    tcp::socket server_;
    direction to_server_{&client_, &server_};
    direction to_client_{&server_, &client_};
    relay_mode mode_ = relay_mode::pass;
};

/// Accepts connections, relays them to the target and fails them on command.
class relay
{
public:
    relay(asio::io_context& io, std::uint16_t port, tcp::endpoint to)
        : acceptor_{io, {asio::ip::address_v4::loopback(), port}}, target_{std::move(to)}
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    /// Takes `{"open": mode}` for open connections, `{"new": mode}` for later ones,
    /// `{"cut": true}` and `{"refuse": true|false}`.
    void control(http_request const& request, http_exchange_ptr const& exchange)
    {
        json::object const wanted = json::parse(request.body).as_object();
        std::size_t open = 0;
        for (auto const& entry : connections_)
        {
            if (auto const connection = entry.lock(); connection && connection->open())
            {
                ++open;
                apply(wanted, *connection);
            }
        }
        if (auto const* mode = wanted.if_contains("new"))
        {
            mode_ = parse_mode(mode->as_string());
        }
        if (auto const* refuse = wanted.if_contains("refuse"))
        {
            refuse_ = refuse->as_bool();
        }
        exchange->answer(200, json::serialize(json::object{{"open", open}}));
    }

private:
    static relay_mode parse_mode(std::string_view name)
    {
        if (name == "stall")
        {
            return relay_mode::stall;
        }
        return name == "swallow" ? relay_mode::swallow : relay_mode::pass;
    }

    static void apply(json::object const& wanted, relay_connection& connection)
    {
        if (auto const* mode = wanted.if_contains("open"))
        {
            connection.set_mode(parse_mode(mode->as_string()));
        }
        if (wanted.contains("cut"))
        {
            connection.cut();
        }
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code failed, tcp::socket socket)
            {
                if (failed)
                {
                    return;
                }
                if (!refuse_)
                {
                    auto connection = std::make_shared<relay_connection>(std::move(socket));
                    connections_.push_back(connection);
                    connection->start(target_, mode_);
                }
                accept();
            });
    }

    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::vector<std::weak_ptr<relay_connection>> connections_;
    relay_mode mode_ = relay_mode::pass;
    bool refuse_ = false;
};

} // namespace

int run_relay(arguments args)
{
    TCLAP::CmdLine line{"A TCP relay that cuts, stalls or swallows on command.", ' ', "0.1"};
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "0 picks a free port", false, 0, "N", line};
    TCLAP::ValueArg<std::string> to{"", "to", "address to relay to", true, "", "IP:PORT", line};
    line.parse(args);
    std::string const& target = to.getValue();
    std::size_t const colon = target.rfind(':');
    tcp::endpoint const endpoint{asio::ip::make_address(target.substr(0, colon)),
                                 static_cast<std::uint16_t>(std::stoul(target.substr(colon + 1)))};
    asio::io_context io{1};
    relay stand_in{io, port.getValue(), endpoint};
    http_server const controls{io, 0,
                               [&](http_request const& request, http_exchange_ptr const& exchange)
                               {
                                   stand_in.control(request, exchange);
                               }};
    std::cout << "control 127.0.0.1:" << controls.port() << '\n';
    return serve(io, stand_in.port());
}

} // namespace plumdale::standins
