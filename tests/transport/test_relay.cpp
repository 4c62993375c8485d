#include "fake_sink.hpp"
#include "loop.hpp"

#include <catch2/catch.hpp>

#include <transport/relay_client.hpp>
#include <transport/relay_server.hpp>

using namespace plumdale;
using tests::run_until;

namespace
{

class fake_content final : public transport::content_source
{
public:
    void request(state::content_ref wanted, answer_handler answer) override
    {
        answer({wanted, "presets/peak", std::make_shared<std::string const>("{}")});
    }
};

transport::link_settings settings_of(std::uint64_t node)
{
    transport::link_settings settings;
    settings.self = state::node_id{node};
    settings.fleet_key = "0123456789abcdef";
    return settings;
}

/// \brief A relaying entry VM and an owner, on one loop.
struct two_vms
{
    two_vms()
    {
        accept();
    }

    void accept()
    {
        listener.acceptor.async_accept(
            [this](boost::system::error_code error, transport::tcp::socket socket)
            {
                if (!error)
                {
                    server.serve(std::move(socket));
                    accept();
                }
            });
    }

    [[nodiscard]] bool relay(std::uint64_t caller)
    {
        std::size_t const before = sink.requests.size();
        state::request request;
        request.model = state::model_id{4};
        client.relay({{caller}, {9}, listener.where(), request});
        return run_until(own_worker.context(), [&] { return sink.requests.size() > before; });
    }

    std::shared_ptr<transport::answer_sink> caller_sink(std::size_t index)
    {
        return own_worker.find(sink.requests.at(index).caller);
    }

    template <class Event>
    Event const* last()
    {
        return events.empty() ? nullptr : std::get_if<Event>(&events.back());
    }

    boost::asio::io_context loop{1};
    transport::worker own_worker{loop, 0, 1};
    tests::loopback listener{own_worker.context()};
    tests::fake_sink sink;
    fake_content content;
    transport::relay_server server{own_worker, sink, content, settings_of(9)};
    std::vector<coordination::request_event> events;
    transport::relay_client client{own_worker.context(), settings_of(1),
                                   [this](coordination::request_event event)
                                   {
                                       events.push_back(std::move(event));
                                   }};
};

} // namespace

TEST_CASE("a relayed answer reaches the relaying side in order")
{
    two_vms vms;
    REQUIRE(vms.relay(21));
    CHECK(vms.sink.requests[0].relayed_by == state::node_id{1});
    CHECK(vms.sink.requests[0].request.model == state::model_id{4});
    auto const caller_sink = vms.caller_sink(0);
    REQUIRE(caller_sink != nullptr);
    caller_sink->deliver(coordination::send_head{{}, {}, {5}});
    caller_sink->deliver(coordination::send_token{{}, {}, {5}, 0, "a"});
    caller_sink->deliver(coordination::send_token{{}, {}, {5}, 1, "b"});
    caller_sink->deliver(coordination::send_finished{{}, {}, 2, ""});
    CHECK(vms.caller_sink(0) == nullptr);
    REQUIRE(run_until(vms.own_worker.context(), [&] { return vms.events.size() == 4; }));
    CHECK(std::get<coordination::relay_head>(vms.events[0]).caller == state::caller_handle{21});
    CHECK(std::get<coordination::relay_token>(vms.events[2]).text == "b");
    CHECK(std::get<coordination::relay_finished>(vms.events[3]).count == 2);
}

TEST_CASE("a relayed refusal keeps its kind and retry delay")
{
    two_vms vms;
    REQUIRE(vms.relay(21));
    vms.caller_sink(0)->deliver(coordination::send_refused{
        {}, state::error_kind::overloaded, std::chrono::milliseconds{1500}, {}, 0});
    REQUIRE(run_until(vms.own_worker.context(), [&] { return !vms.events.empty(); }));
    auto const* refused = vms.last<coordination::relay_refused>();
    REQUIRE(refused != nullptr);
    CHECK(refused->kind == state::error_kind::overloaded);
    CHECK(refused->retry_after == std::chrono::milliseconds{1500});
}

// One of two callers on the same link stops reading. Only its own stream may be paused at the
// owner, and must be resumed when it reads again; the other's goes on.
TEST_CASE("a slow caller blocks only its own stream over a relay")
{
    two_vms vms;
    REQUIRE(vms.relay(21));
    REQUIRE(vms.relay(22));
    vms.client.send_event({21}, protocol::caller_event::blocked);
    REQUIRE(run_until(vms.own_worker.context(),
                      [&] { return vms.sink.has<coordination::caller_blocked>(); }));
    CHECK(vms.sink.events.size() == 1);
    CHECK(std::get<coordination::caller_blocked>(vms.sink.events[0]).caller ==
          vms.sink.requests[0].caller);
    vms.client.send_event({21}, protocol::caller_event::ready);
    REQUIRE(run_until(vms.own_worker.context(),
                      [&] { return vms.sink.has<coordination::caller_ready>(); }));
}

TEST_CASE("a caller that disconnects is removed at the owner too")
{
    two_vms vms;
    REQUIRE(vms.relay(21));
    vms.client.close({21});
    REQUIRE(run_until(vms.own_worker.context(),
                      [&] { return vms.sink.has<coordination::caller_disconnected>(); }));
    CHECK(vms.caller_sink(0) == nullptr);
}

// The owner can't be reached at all: nothing was sent, so the request may be reported as not run.
TEST_CASE("a relay that could not connect is reported as not sent")
{
    two_vms vms;
    state::endpoint const closed = [&]
    {
        tests::loopback gone{vms.own_worker.context()};
        return gone.where();
    }();
    vms.client.relay({{21}, {9}, closed, {}});
    REQUIRE(run_until(vms.own_worker.context(), [&] { return !vms.events.empty(); }));
    auto const* failed = vms.last<coordination::relay_failed>();
    REQUIRE(failed != nullptr);
    CHECK(failed->caller == state::caller_handle{21});
    CHECK_FALSE(failed->sent);
}

// The owner had received the request when the link broke: it must not be reported as not run.
TEST_CASE("a relay whose link broke may have reached the owner")
{
    boost::asio::io_context context;
    tests::loopback listener{context};
    std::vector<coordination::request_event> events;
    transport::relay_client client{context, settings_of(1),
                                   [&](coordination::request_event event)
                                   {
                                       events.push_back(std::move(event));
                                   }};
    bool received = false;
    std::shared_ptr<transport::peer_link> owner;
    listener.acceptor.async_accept(
        [&](boost::system::error_code, transport::tcp::socket socket)
        {
            transport::link_listener owner_side;
            owner_side.received = [&](protocol::link_frame const&)
            {
                received = true;
            };
            owner = accept_link(std::move(socket), settings_of(9), std::move(owner_side));
        });
    client.relay({{21}, {9}, listener.where(), {}});
    REQUIRE(run_until(context, [&] { return received; }));
    owner->close();
    REQUIRE(run_until(context, [&] { return !events.empty(); }));
    CHECK(std::get<coordination::relay_failed>(events[0]).sent);
}
