#include "forward_fixture.hpp"
#include "transport/boot_clock.hpp"
#include "transport/configuration_exchange.hpp"
#include "transport/store_reader.hpp"

#include <plumdale/protocol/fleet_codec.hpp>
#include <plumdale/protocol/text_patch.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view newer_configuration = R"({"version":4,"routes":[],"services":[]})";

std::string encode_offer(std::string_view text, std::uint64_t digest, std::string_view key)
{
    coordination::configuration_offer offer;
    offer.version = 4;
    offer.digest = digest;
    offer.patch = protocol::make_patch({}, text);
    return protocol::encode(offer, key);
}

} // namespace

// Guards against a peer with damaged memory that passes on another text under the same version: VMs
// would use different configurations of one version, and no later exchange would reveal it.
TEST_CASE("a configuration that isn't the published one is not taken", "[configuration_exchange]")
{
    forward_fixture fixture;
    transport::configuration_exchange exchange{
        fixture.core,
        {[] { return std::vector<transport::broadcast_peer>{}; },
         [](std::string const& /*datagram*/, state::endpoint /*to*/) {},
         [](std::function<void()> const& /*otherwise*/) {
         }}};
    std::string_view const key = fixture.settings.fleet_key;
    std::uint64_t const digest = protocol::text_digest(newer_configuration);
    std::string damaged{newer_configuration};
    damaged.replace(damaged.find("services"), 8, "servicez");
    std::string const damaged_offer = encode_offer(damaged, digest, key);
    exchange.receive_offer(damaged_offer, {0x7f000001, 1});
    CHECK(fixture.core.version() == 3);
    std::string const valid_offer = encode_offer(newer_configuration, digest, key);
    exchange.receive_offer(valid_offer, {0x7f000001, 1});
    CHECK(fixture.core.version() == 4);
    // The VM also sends a request to the damaged offer's sender, which doesn't exist.
    for (int i = 0; i < 10; ++i)
    {
        fixture.context.restart();
        fixture.context.run_one_for(std::chrono::milliseconds{20});
    }
}

// Guards against waits that add up: two peers that don't answer kept a VM from asking the store
// until its configuration was late, and callers of an added route got 404.
TEST_CASE("the store is asked in time though two peers are silent", "[configuration_exchange]")
{
    // Time until a configuration is in force everywhere, less the time to receive a message of some
    // peer and to read the store.
    constexpr auto max_time = 3'000ms - 100ms - transport::store_reader::read_once_jitter -
                              transport::store_reader::answer_timeout;
    forward_fixture fixture;
    bool is_store_asked = false;
    transport::configuration_exchange exchange{
        fixture.core,
        {[] { return std::vector<transport::broadcast_peer>{}; },
         [](std::string const& /*datagram*/, state::endpoint /*to*/) {},
         [&is_store_asked](std::function<void()> const& /*otherwise*/)
         {
             is_store_asked = true;
         }}};
    scripted_upstream const silent_peer{fixture.context, "peer", "a"};
    constexpr std::uint64_t peers = 150;
    for (std::uint64_t peer = 1; peer <= peers; ++peer)
    {
        coordination::fleet_update update;
        update.sender = state::node_id{peer};
        update.incarnation_number = state::incarnation{1};
        update.sequence = 1;
        update.configuration = 4;
        fixture.core.fleet.apply_update(update, silent_peer.make_member("", 1).address, 0,
                                        transport::boot_now());
    }
    auto const began = transport::boot_now();
    exchange.note_peer_version(4);
    fixture.run_until(
        [&]
        {
            exchange.advance();
            return is_store_asked;
        });
    CHECK(transport::boot_now() - began <= max_time);
    CHECK(silent_peer.connections.size() == 2);
}

namespace
{

int null_descriptor()
{
    static int const descriptor = ::open("/dev/null", O_WRONLY);
    return descriptor;
}

/// \brief Configuration exchanges of a fleet, whose datagrams arrive in the order sent unless lost.
class lossy_fleet
{
public:
    lossy_fleet(std::size_t size, std::uint32_t lost_per_mille, std::uint32_t seed)
        : lost_per_mille_{lost_per_mille}, random_{seed}
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            vms_.push_back(std::make_unique<vm>(*this, i));
        }
    }

    /// \brief Broadcasts a newer configuration from the first VM; returns how many others miss it.
    std::size_t broadcast(std::string_view text)
    {
        vms_.front()->core.apply_configuration(std::string{text}, "test");
        vms_.front()->exchange.broadcast();
        while (!in_flight_.empty())
        {
            auto const [datagram, to] = std::move(in_flight_.front());
            in_flight_.pop_front();
            std::span<char const> const bytes{datagram};
            vms_[to]->exchange.receive_offer(bytes.subspan(1), {0x7f000001, 1});
        }
        auto const missed =
            std::count_if(vms_.begin(), vms_.end(),
                          [this](auto const& each)
                          { return each->core.version() != vms_.front()->core.version(); });
        return static_cast<std::size_t>(missed);
    }

private:
    struct vm
    {
        vm(lossy_fleet& fleet, std::size_t index)
            : settings{settings_of(index)}, log{null_descriptor(), "vm"}, core{context, settings,
                                                                               dialect, log},
              exchange{core,
                       {[&fleet, index] { return fleet.peers_of(index); },
                        [&fleet](std::string const& datagram, state::endpoint to)
                        { fleet.send(datagram, to); },
                        [](std::function<void()> const& /*otherwise*/) {
                        }}}
        {
        }

        static protocol::forward_settings settings_of(std::size_t index)
        {
            protocol::forward_settings settings;
            settings.zone = "a";
            settings.fleet_key = "sixteen letters!";
            settings.datagrams = {static_cast<std::uint32_t>(index + 1), 7200};
            return settings;
        }

        transport::net::io_context context;
        platform::platform_dialect dialect;
        protocol::forward_settings settings;
        transport::decision_log log;
        transport::forward_core core;
        transport::configuration_exchange exchange;
    };

    [[nodiscard]] std::vector<transport::broadcast_peer> peers_of(std::size_t index) const
    {
        std::vector<transport::broadcast_peer> peers;
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            if (i != index)
            {
                peers.push_back({vms_[i]->core.self, vms_[i]->settings.datagrams});
            }
        }
        return peers;
    }

    void send(std::string const& datagram, state::endpoint to)
    {
        if (random_() % 1'000 >= lost_per_mille_)
        {
            in_flight_.emplace_back(datagram, to.address - 1);
        }
    }

    std::uint32_t lost_per_mille_;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<vm>> vms_;
    std::deque<std::pair<std::string, std::size_t>> in_flight_;
};

} // namespace

// Load pattern: a route is added in a fleet of hundreds while links are full and lose datagrams.
// Guards against VMs that answer 404 on it until a reader's next message and a request have passed.
TEST_CASE("a configuration reaches a large fleet though datagrams are lost",
          "[configuration_exchange][load]")
{
    constexpr std::size_t fleet_size = 80;
    constexpr std::uint32_t broadcasts = 20;
    std::size_t missed = 0;
    for (std::uint32_t seed = 1; seed <= broadcasts; ++seed)
    {
        missed += lossy_fleet{fleet_size, 20, seed}.broadcast(newer_configuration);
    }
    // One datagram in 50 is lost: one tree leaves out some 4 of 80 each time.
    CHECK(missed * 100 < fleet_size * broadcasts);
}
