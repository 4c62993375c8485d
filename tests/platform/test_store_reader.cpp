#include "forward_scene.hpp"
#include "transport/store_reader.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view not_published = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view may_lag = "allowStale=1";

int null_descriptor()
{
    static int const descriptor = ::fileno(std::tmpfile());
    return descriptor;
}

std::size_t count(std::string const& text, std::string_view what)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
    {
        ++found;
    }
    return found;
}

/// \brief An entry VM that knows nothing yet, and the store that it asks.
struct starting_vm
{
    explicit starting_vm(bool is_seed)
        : store{context, "store", "a"}, log{null_descriptor(), "vm"},
          settings{settings_for(is_seed)}, core{context, settings, words, log}, reader{core}
    {
        reader.start();
    }

    protocol::forward_settings settings_for(bool is_seed) const
    {
        protocol::forward_settings chosen;
        chosen.zone = "a";
        chosen.datagrams = {0x7f000001, 7200};
        chosen.platform = store.listing("store", 1).address;
        chosen.seeds = {{0x7f000002, 7200}};
        if (is_seed)
        {
            chosen.seeds.push_back(chosen.datagrams);
        }
        return chosen;
    }

    /// \brief Runs for `time`; each request is answered as not published.
    void run(std::chrono::milliseconds time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            context.restart();
            context.run_one_for(5ms);
            answer();
        }
    }

    void answer()
    {
        if (!store.connections.empty() && asked() > answered)
        {
            ++answered;
            store.connections.back()->send(not_published);
        }
    }

    [[nodiscard]] std::size_t asked() const
    {
        std::size_t requests = 0;
        for (auto const& each : store.connections)
        {
            requests += count(each->received, "GET ");
        }
        return requests;
    }

    transport::net::io_context context;
    platform::platform_dialect words;
    script_upstream store;
    transport::decision_log log;
    protocol::forward_settings settings;
    transport::forward_core core;
    transport::store_reader reader;
    std::size_t answered = 0;
};

} // namespace

// All 300 VMs lose power and start at the same moment, and callers come at once. Each needs the
// configuration and the list before it can serve; a read that may lag is not turned away however
// many ask.
TEST_CASE("what a VM reads at its start may lag", "[store_reader][load]")
{
    for (bool const is_seed : {false, true})
    {
        starting_vm vm{is_seed};
        vm.run(100ms);
        REQUIRE(vm.asked() == 1);
        CHECK(count(vm.store.connections.front()->received, may_lag) == 1);
    }
}

// Nothing is published for some seconds after the first start. Were 300 VMs to ask each 0.4 s, the
// store would answer 750 times a second that there is nothing; the seeds ask, and tell the others.
TEST_CASE("before anything is published only seeds ask often", "[store_reader][load]")
{
    starting_vm seed{true};
    seed.run(1'000ms);
    CHECK(seed.asked() >= 3);
    // What may lag would tell of the publication seconds later.
    CHECK(count(seed.store.connections.front()->received, may_lag) == 1);
    starting_vm other{false};
    other.run(900ms);
    CHECK(other.asked() == 1);
}
