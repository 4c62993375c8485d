#include "peer_link.hpp"

#include "clock.hpp"

#include <plumdale/protocol/link_authenticator.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

using boost::system::error_code;
using direction = protocol::link_authenticator::direction;

// On the wire: length (4 bytes, little-endian), MAC, Cap'n Proto message.
constexpr std::size_t length_bytes = 4;
constexpr std::size_t prefix_bytes = length_bytes + sizeof(protocol::link_mac);
// Limits the memory that a peer can fill before it has proved that it holds the key.
constexpr std::uint32_t hello_limit = 1024;
// The buffer of a long frame grows as bytes arrive; the claimed length is not allocated at once.
constexpr std::size_t max_read_bytes = 262'144;

std::string frame_prefix(std::size_t length, protocol::link_mac const& mac)
{
    std::string prefix;
    for (std::size_t i = 0; i < length_bytes; ++i)
    {
        prefix += static_cast<char>(length >> (8 * i));
    }
    prefix.append(mac.begin(), mac.end());
    return prefix;
}

class tcp_link final : public peer_link, public std::enable_shared_from_this<tcp_link>
{
public:
    tcp_link(tcp::socket socket, direction side, link_settings const& settings,
             link_listener listener)
        : socket_{std::move(socket)}, heartbeat_timer_{socket_.get_executor()},
          silence_timer_{socket_.get_executor()}, side_{side}, settings_{settings},
          listener_{std::move(listener)}
    {
        RAND_bytes(nonce_.data(), static_cast<int>(nonce_.size()));
    }

    void connect(state::endpoint address)
    {
        arm_silence_timer();
        socket_.async_connect(to_tcp(address), [self = shared_from_this()](error_code error)
                              { error ? self->fail() : self->send_hello(); });
    }

    void start()
    {
        arm_silence_timer();
        send_hello();
    }

    void send(protocol::link_frame const& frame) override
    {
        if (closed_)
        {
            return;
        }
        std::string bytes = protocol::encode_frame(frame, now());
        if (!send_authenticator_)
        {
            return frames_before_open_.push_back(std::move(bytes));
        }
        enqueue(bytes);
    }

    [[nodiscard]] state::node_id peer() const override
    {
        return peer_;
    }

    void close() override
    {
        closed_ = true;
        error_code ignored;
        socket_.close(ignored);
        heartbeat_timer_.cancel();
        silence_timer_.cancel();
    }

private:
    // -- opening ----

    void send_hello()
    {
        error_code ignored;
        socket_.set_option(tcp::no_delay{true}, ignored);
        std::string const bytes =
            protocol::encode_frame({0, protocol::link_hello{settings_.self, nonce_}}, now());
        pending_ += frame_prefix(bytes.size(), protocol::hello_mac(settings_.fleet_key, bytes));
        pending_ += bytes;
        flush();
        read_prefix();
    }

    void on_hello(std::string_view bytes)
    {
        std::string const* const key = find_signing_key(bytes);
        if (key == nullptr)
        {
            return fail();
        }
        auto const frame = protocol::decode_frame(bytes, now());
        auto const* const hello =
            frame ? std::get_if<protocol::link_hello>(&frame.value().body) : nullptr;
        // A hello with this side's own nonce is a reflection.
        if (hello == nullptr || hello->nonce == nonce_)
        {
            return fail();
        }
        peer_ = hello->node;
        make_authenticators(hello->nonce, *key);
        for (std::string const& each : std::exchange(frames_before_open_, {}))
        {
            enqueue(each);
        }
        arm_heartbeat_timer();
        if (listener_.opened)
        {
            listener_.opened();
        }
    }

    /// \brief Returns the key that the other side's hello was signed with; null when it is not an
    /// accepted one.
    std::string const* find_signing_key(std::string_view hello) const
    {
        auto const signed_by = [&](std::string const& key)
        {
            return protocol::macs_equal(protocol::hello_mac(key, hello), received_mac_);
        };
        if (signed_by(settings_.fleet_key))
        {
            return &settings_.fleet_key;
        }
        auto const& accepted = settings_.accepted_fleet_keys;
        auto const found = std::find_if(accepted.begin(), accepted.end(), signed_by);
        return found == accepted.end() ? nullptr : &*found;
    }

    // Each direction is authenticated with the key of its sender: while the fleet changes its key,
    // the two sides may sign with different ones.
    void make_authenticators(protocol::link_nonce const& peer_nonce, std::string const& peer_key)
    {
        bool const is_initiator = side_ == direction::from_initiator;
        auto const& first = is_initiator ? nonce_ : peer_nonce;
        auto const& second = is_initiator ? peer_nonce : nonce_;
        auto const other = is_initiator ? direction::from_responder : direction::from_initiator;
        send_authenticator_.emplace(settings_.fleet_key, first, second, side_);
        receive_authenticator_.emplace(peer_key, first, second, other);
    }

    // -- reading ----

    void read_prefix()
    {
        net::async_read(socket_, net::buffer(prefix_),
                        [self = shared_from_this()](error_code error, std::size_t)
                        { self->on_prefix(error); });
    }

    void on_prefix(error_code error)
    {
        if (error)
        {
            return fail();
        }
        std::uint32_t length = 0;
        for (std::size_t i = 0; i < length_bytes; ++i)
        {
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(prefix_[i])) << (8 * i);
        }
        std::copy(prefix_.begin() + length_bytes, prefix_.end(), received_mac_.begin());
        if (length > (receive_authenticator_ ? settings_.frame_limit : hello_limit))
        {
            return fail();
        }
        frame_.clear();
        read_frame(length);
    }

    void read_frame(std::size_t length)
    {
        std::size_t const have = frame_.size();
        std::size_t const step = std::min(length - have, max_read_bytes);
        frame_.resize(have + step);
        net::async_read(socket_, net::buffer(frame_.data() + have, step),
                        [self = shared_from_this(), length](error_code error, std::size_t)
                        {
                            if (error)
                            {
                                return self->fail();
                            }
                            self->last_contact_ = now();
                            self->frame_.size() < length ? self->read_frame(length)
                                                         : self->on_frame();
                        });
    }

    void on_frame()
    {
        if (closed_)
        {
            return;
        }
        receive_authenticator_ ? on_data_frame() : on_hello(frame_);
        if (!closed_)
        {
            read_prefix();
        }
    }

    void on_data_frame()
    {
        if (!protocol::macs_equal(receive_authenticator_->next_mac(frame_), received_mac_))
        {
            return fail();
        }
        auto frame = protocol::decode_frame(frame_, now());
        if (!frame)
        {
            return fail();
        }
        if (frame_.capacity() > max_read_bytes)
        {
            std::string{}.swap(frame_);
        }
        if (!std::holds_alternative<protocol::link_heartbeat>(frame.value().body) &&
            listener_.received)
        {
            listener_.received(std::move(frame.value()));
        }
    }

    // -- writing ----

    void enqueue(std::string_view bytes)
    {
        pending_ += frame_prefix(bytes.size(), send_authenticator_->next_mac(bytes));
        pending_ += bytes;
        if (!blocked_ && pending_.size() > settings_.buffer)
        {
            set_blocked(true);
        }
        flush();
    }

    void flush()
    {
        if (writing_ || pending_.empty() || closed_)
        {
            return;
        }
        writing_ = true;
        sending_.clear();
        std::swap(sending_, pending_);
        net::async_write(socket_, net::buffer(sending_),
                         [self = shared_from_this()](error_code error, std::size_t)
                         { self->on_written(error); });
    }

    void on_written(error_code error)
    {
        writing_ = false;
        if (error || closed_)
        {
            return fail();
        }
        if (blocked_ && pending_.size() <= settings_.buffer)
        {
            set_blocked(false);
        }
        flush();
    }

    void set_blocked(bool blocked)
    {
        blocked_ = blocked;
        if (listener_.blocked)
        {
            listener_.blocked(blocked);
        }
    }

    // -- liveness ----

    void arm_heartbeat_timer()
    {
        heartbeat_timer_.expires_after(settings_.heartbeat_interval);
        heartbeat_timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error || self->closed_)
                {
                    return;
                }
                if (self->pending_.empty() && !self->writing_)
                {
                    self->send({0, protocol::link_heartbeat{}});
                }
                self->arm_heartbeat_timer();
            });
    }

    // A device on the path may have lost the state of the connection: then the socket stays open
    // and every byte is lost. Only received bytes prove that the peer is reachable.
    void arm_silence_timer()
    {
        silence_timer_.expires_at(to_steady(last_contact_) + settings_.silence_timeout);
        silence_timer_.async_wait(
            [self = shared_from_this()](error_code error)
            {
                if (error || self->closed_)
                {
                    return;
                }
                now() - self->last_contact_ >= self->settings_.silence_timeout
                    ? self->fail()
                    : self->arm_silence_timer();
            });
    }

    void fail()
    {
        if (closed_)
        {
            return;
        }
        auto const on_closed = std::move(listener_.closed);
        close();
        if (on_closed)
        {
            on_closed();
        }
    }

    tcp::socket socket_;
    net::steady_timer heartbeat_timer_;
    net::steady_timer silence_timer_;
    direction side_;
    link_settings settings_;
    link_listener listener_;
    protocol::link_nonce nonce_{};
    state::node_id peer_;
    std::optional<protocol::link_authenticator> send_authenticator_;
    std::optional<protocol::link_authenticator> receive_authenticator_;
    std::vector<std::string> frames_before_open_;
    state::time_point last_contact_ = now();
    std::array<char, prefix_bytes> prefix_{};
    protocol::link_mac received_mac_{};
    std::string frame_;
    std::string pending_;
    std::string sending_;
    bool writing_ = false;
    bool blocked_ = false;
    bool closed_ = false;
};

} // namespace

std::shared_ptr<peer_link> open_link(net::io_context& context, state::endpoint address,
                                     link_settings const& settings, link_listener listener)
{
    auto link = std::make_shared<tcp_link>(tcp::socket{context}, direction::from_initiator,
                                           settings, std::move(listener));
    link->connect(address);
    return link;
}

std::shared_ptr<peer_link> accept_link(tcp::socket socket, link_settings const& settings,
                                       link_listener listener)
{
    auto link = std::make_shared<tcp_link>(std::move(socket), direction::from_responder, settings,
                                           std::move(listener));
    link->start();
    return link;
}

} // namespace plumdale::transport
