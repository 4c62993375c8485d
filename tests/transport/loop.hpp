#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <transport/net.hpp>
#include <utility>

/// \file
/// \brief Runs an event loop on the test's thread until a condition holds.

namespace plumdale::tests
{

/// \brief Runs the loop until `done()`; returns false after 30 seconds.
template <class Condition>
[[nodiscard]] bool run_until(boost::asio::io_context& context, Condition done)
{
    auto const bound = std::chrono::steady_clock::now() + std::chrono::seconds{30};
    while (!done())
    {
        context.restart();
        if (std::chrono::steady_clock::now() > bound)
        {
            return false;
        }
        context.run_one_for(std::chrono::milliseconds{100});
    }
    return true;
}

/// \brief A listening socket on loopback.
struct loopback
{
    explicit loopback(boost::asio::io_context& context)
        : acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}}
    {
    }

    [[nodiscard]] state::endpoint where() const
    {
        return transport::from_tcp(acceptor.local_endpoint());
    }

    transport::tcp::acceptor acceptor;
};

/// \brief A plain socket that sends and collects bytes.
class raw_peer
{
public:
    explicit raw_peer(transport::tcp::socket socket) : socket_{std::move(socket)}
    {
        read();
    }

    raw_peer(boost::asio::io_context& context, state::endpoint where) : socket_{context}
    {
        socket_.connect(transport::to_tcp(where));
        read();
    }

    void send(std::string const& bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    [[nodiscard]] std::string const& received() const
    {
        return read_state_->received;
    }
    [[nodiscard]] bool ended() const
    {
        return read_state_->ended;
    }

private:
    // Outlives the peer: the handler of a completed read may run after the peer's destruction.
    struct read_state
    {
        std::array<char, 4096> bytes{};
        std::string received;
        bool ended = false;
    };

    void read()
    {
        socket_.async_read_some(boost::asio::buffer(read_state_->bytes),
                                [this, weak_state = std::weak_ptr{read_state_}](
                                    boost::system::error_code error, std::size_t count)
                                {
                                    if (auto const alive = weak_state.lock())
                                    {
                                        alive->received.append(alive->bytes.data(), count);
                                        alive->ended = static_cast<bool>(error);
                                        if (!error)
                                        {
                                            read();
                                        }
                                    }
                                });
    }

    transport::tcp::socket socket_;
    std::shared_ptr<read_state> read_state_ = std::make_shared<read_state>();
};

} // namespace plumdale::tests
