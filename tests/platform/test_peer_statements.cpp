#include "peer_vm.hpp"
#include "transport/boot_clock.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale;
using namespace plumdale::test;

// A VM without a path to upstreams has peers take its calls. Guards against a call that a second
// peer sends, or that is refused as not run, while the first peer's send may run.

namespace
{

constexpr std::string_view peer_call = "POST /fleet/call ";

/// \brief Two peers whose answers the test sends, beside a VM without a path to upstreams.
class scripted_peers
{
public:
    explicit scripted_peers(forward_fixture& fixture) : fixture_{fixture}
    {
        cut_paths(fixture, fixture.core, nowhere_);
        for (std::size_t i = 0; i < peers_.size(); ++i)
        {
            peers_[i] = std::make_unique<scripted_upstream>(fixture.context, "peer", "a");
            coordination::fleet_update update;
            update.sender = state::node_id{100 + i};
            update.incarnation_number = {1};
            update.sequence = 1;
            update.configuration = fixture.core.version();
            update.directory = fixture.core.directory.digest();
            fixture.core.fleet.apply_update(update, peers_[i]->make_member("peer", 1).address,
                                            fixture.core.directory.digest(), transport::boot_now());
        }
    }

    [[nodiscard]] std::size_t asked() const
    {
        std::size_t count = 0;
        for (auto const& each : peers_)
        {
            count += each->connections_with(peer_call).size();
        }
        return count;
    }

    /// \brief Returns the connection of the only request to a peer so far.
    [[nodiscard]] std::shared_ptr<scripted_connection> first_asked()
    {
        fixture_.run_until([this] { return asked() > 0; });
        auto const found = peers_[0]->connections_with(peer_call);
        return found.empty() ? peers_[1]->connections_with(peer_call).front() : found.front();
    }

private:
    forward_fixture& fixture_;
    dead_address nowhere_{lost_path::refused};
    std::array<std::unique_ptr<scripted_upstream>, 2> peers_;
};

std::string refusal_of_peer(std::string_view fields)
{
    return "HTTP/1.1 503 Text\r\n" + std::string{fields} + "Content-Length: 0\r\n\r\n";
}

} // namespace

TEST_CASE("an answer of a peer that does not say whose it is declines nothing", "[peer_statements]")
{
    forward_fixture fixture;
    scripted_peers peers{fixture};
    auto const caller = fixture.call("/event/1", "id-1");
    peers.first_asked()->send(refusal_of_peer(""));
    fixture.run_until([&] { return caller->received.find("\r\n\r\n") != std::string::npos; });
    CHECK(caller->received.starts_with("HTTP/1.1 502 "));
    CHECK(peers.asked() == 1);
}

TEST_CASE("an answer of a peer to another call declines nothing", "[peer_statements]")
{
    for (std::string_view const call : {"", "Fleet-Call: id-0\r\n"})
    {
        for (std::string_view const kind : {"peer_declined", "overloaded", "upstream"})
        {
            CAPTURE(call, kind);
            forward_fixture fixture;
            scripted_peers peers{fixture};
            auto const caller = fixture.call("/event/1", "id-1");
            peers.first_asked()->send(
                refusal_of_peer("Fleet-Answer: " + std::string{kind} + "\r\n" + std::string{call}));
            fixture.run_until([&]
                              { return caller->received.find("\r\n\r\n") != std::string::npos; });
            CHECK(caller->received.starts_with("HTTP/1.1 502 "));
            CHECK(peers.asked() == 1);
        }
    }
}

TEST_CASE("a call that a peer declines by its id is taken by another peer", "[peer_statements]")
{
    forward_fixture fixture;
    scripted_peers peers{fixture};
    auto const caller = fixture.call("/event/1", "id-1");
    peers.first_asked()->send(
        refusal_of_peer("Fleet-Answer: peer_declined\r\nFleet-Call: id-1\r\n"));
    fixture.run_until([&] { return peers.asked() == 2; });
    CHECK(caller->received.empty());
}
