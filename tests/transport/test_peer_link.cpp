#include "loop.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <transport/peer_link.hpp>

using namespace plumdale;
using namespace std::chrono_literals;
using protocol::caller_event;
using tests::loopback;
using tests::run_until;

namespace
{

/// \brief Records the callbacks of one side of a link.
struct side
{
    transport::link_listener listener()
    {
        transport::link_listener made;
        made.opened = [this]
        {
            opened = true;
        };
        made.received = [this](protocol::link_frame frame)
        {
            frames.push_back(std::move(frame));
        };
        made.closed = [this]
        {
            closed = true;
        };
        made.blocked = [this](bool now)
        {
            blocked.push_back(now);
        };
        return made;
    }

    bool opened = false;
    bool closed = false;
    std::vector<bool> blocked;
    std::vector<protocol::link_frame> frames;
    std::shared_ptr<transport::peer_link> link;
};

transport::link_settings settings_of(std::uint64_t node, std::string key = "0123456789abcdef")
{
    transport::link_settings settings;
    settings.self = state::node_id{node};
    settings.fleet_key = std::move(key);
    return settings;
}

struct link_pair
{
    void open(transport::link_settings const& initiator, transport::link_settings const& responder)
    {
        listener.acceptor.async_accept(
            [this, responder](boost::system::error_code, transport::tcp::socket socket)
            { b.link = accept_link(std::move(socket), responder, b.listener()); });
        a.link = open_link(context, listener.where(), initiator, a.listener());
    }

    boost::asio::io_context context;
    loopback listener{context};
    side a;
    side b;
};

} // namespace

TEST_CASE("two entry VMs exchange frames over a link")
{
    link_pair links;
    links.open(settings_of(1), settings_of(2));
    links.a.link->send({5, caller_event::disconnected}); // before the link is open
    REQUIRE(run_until(links.context, [&] { return !links.b.frames.empty(); }));
    CHECK(links.b.frames[0].exchange == 5);
    CHECK(links.b.link->peer() == state::node_id{1});
    links.b.link->send({6, caller_event::ready});
    REQUIRE(run_until(links.context, [&] { return !links.a.frames.empty(); }));
    CHECK(links.a.link->peer() == state::node_id{2});
    links.a.link->close();
    REQUIRE(run_until(links.context, [&] { return links.b.closed; }));
    CHECK_FALSE(links.a.closed);
}

// A process without the fleet key connects, or accepts a connection. Its hello has a wrong MAC, so
// the link must end before any request is sent and any frame is read.
TEST_CASE("a link with another fleet key never opens")
{
    link_pair links;
    links.open(settings_of(1), settings_of(2, "another key of the fleet"));
    links.a.link->send({5, caller_event::disconnected});
    REQUIRE(run_until(links.context, [&] { return links.a.closed && links.b.closed; }));
    CHECK_FALSE(links.a.opened);
    CHECK_FALSE(links.b.opened);
    CHECK(links.b.frames.empty());
}

// The fleet's key is changed by a rolling restart: for a while one VM signs with the new key and
// its peer with the old one. Links between them must open and carry frames, or relays would fail.
TEST_CASE("a link opens while the fleet changes its key")
{
    transport::link_settings changed = settings_of(1, "fedcba9876543210");
    transport::link_settings unchanged = settings_of(2);
    changed.accepted_fleet_keys = {unchanged.fleet_key};
    unchanged.accepted_fleet_keys = {changed.fleet_key};
    link_pair links;
    links.open(changed, unchanged);
    links.a.link->send({5, caller_event::disconnected});
    REQUIRE(run_until(links.context, [&] { return !links.b.frames.empty(); }));
    links.b.link->send({6, caller_event::ready});
    REQUIRE(run_until(links.context, [&] { return !links.a.frames.empty(); }));
}

// Nothing that the other end sends arrives, and the socket reports no error. The relaying VM would
// wait indefinitely unless it closed the link after the silence timeout.
TEST_CASE("a silent connection is closed")
{
    boost::asio::io_context context;
    loopback silent{context};
    transport::link_settings settings = settings_of(1);
    settings.heartbeat_interval = 5ms;
    settings.silence_timeout = 40ms;
    side a;
    a.link = open_link(context, silent.where(), settings, a.listener());
    REQUIRE(run_until(context, [&] { return a.closed; }));
    CHECK_FALSE(a.opened);
}

TEST_CASE("heartbeats keep an idle link open")
{
    link_pair links;
    transport::link_settings initiator = settings_of(1);
    transport::link_settings responder = settings_of(2);
    initiator.heartbeat_interval = responder.heartbeat_interval = 20ms;
    initiator.silence_timeout = responder.silence_timeout = 2s;
    links.open(initiator, responder);
    auto const start = std::chrono::steady_clock::now();
    REQUIRE(
        run_until(links.context, [&] { return std::chrono::steady_clock::now() - start > 3s; }));
    CHECK_FALSE(links.a.closed);
    CHECK_FALSE(links.b.closed);
}

// Bytes on a link are changed in transit, or replayed from an earlier link. The MAC of each frame
// must reveal it; the link ends, and the process goes on.
TEST_CASE("garbage after or instead of a hello ends the link")
{
    std::minstd_rand random{7};
    for (int round = 0; round < 50; ++round)
    {
        boost::asio::io_context context;
        loopback listener{context};
        side b;
        listener.acceptor.async_accept(
            [&](boost::system::error_code, transport::tcp::socket socket)
            { b.link = accept_link(std::move(socket), settings_of(2), b.listener()); });
        tests::raw_peer peer{context, listener.where()};
        std::string bytes(20 + random() % 200, '\0');
        for (char& each : bytes)
        {
            each = static_cast<char>(random());
        }
        // In every second round the length is plausible, so that only the MAC can reveal the fault.
        if (round % 2 == 0)
        {
            bytes.replace(0, 4, std::string{static_cast<char>(bytes.size() - 20), 0, 0, 0});
        }
        peer.send(bytes);
        peer.send(std::string(4096, 'x'));
        REQUIRE(run_until(context, [&] { return b.closed; }));
        CHECK_FALSE(b.opened);
    }
}

// Guards against memory that anyone fills who can open a connection, and one frame without an end.
TEST_CASE("a link ends at a frame beyond its bound", "[endless]")
{
    boost::asio::io_context context;
    loopback listener{context};
    side b;
    listener.acceptor.async_accept(
        [&](boost::system::error_code, transport::tcp::socket socket)
        { b.link = accept_link(std::move(socket), settings_of(2), b.listener()); });
    tests::raw_peer peer{context, listener.where()};
    // A hello may have 1,024 bytes. No more is sent of this one than its length and a MAC.
    peer.send(std::string{"\x01\x04\x00\x00", 4} + std::string(64, 'x'));
    auto const begin = std::chrono::steady_clock::now();
    REQUIRE(run_until(context, [&] { return b.closed; }));
    CHECK(std::chrono::steady_clock::now() - begin < settings_of(2).silence_timeout);

    link_pair links;
    transport::link_settings bounded = settings_of(2);
    bounded.frame_limit = 10'000;
    links.open(settings_of(1), bounded);
    REQUIRE(run_until(links.context, [&] { return links.a.opened && links.b.opened; }));
    links.a.link->send({1, coordination::relay_token{{1}, {}, {}, 0, std::string(9'000, 't')}});
    links.a.link->send({1, coordination::relay_token{{1}, {}, {}, 0, std::string(10'000, 't')}});
    REQUIRE(run_until(links.context, [&] { return links.b.closed; }));
    CHECK(links.b.frames.size() == 1);
}

// The peer reads slowly. The bytes that wait for it are bounded: its streams must be paused, and
// resumed when it reads again.
TEST_CASE("a link above its buffer limit reports that it is blocked")
{
    link_pair links;
    links.open(settings_of(1), settings_of(2));
    REQUIRE(run_until(links.context, [&] { return links.a.opened && links.b.opened; }));
    std::string const text(65'536, 't');
    std::size_t sent = 0;
    while (links.a.blocked.empty())
    {
        links.a.link->send({1, coordination::relay_token{{1}, {}, {}, 0, text}});
        ++sent;
        REQUIRE(sent < 100);
    }
    CHECK(links.a.blocked.back());
    REQUIRE(run_until(links.context, [&] { return !links.a.blocked.back(); }));
    REQUIRE(run_until(links.context, [&] { return links.b.frames.size() == sent; }));
}
