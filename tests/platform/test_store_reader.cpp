#include "starting_vm.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view east_at_5 = R"(,{"key":"op/evacuate/east","value":"","revision":5})";
constexpr auto east = state::id_from_name<state::zone_id>("east");

} // namespace

// All 300 VMs restart at the same moment after a power loss, and calls arrive at once. Each VM
// needs the configuration and the list before it can serve; the store never rejects a read that may
// lag, however many VMs read.
TEST_CASE("what a VM reads at its start may lag", "[store_reader][load]")
{
    for (bool const is_seed : {false, true})
    {
        starting_vm vm{is_seed};
        vm.run(100ms);
        REQUIRE(vm.request_count() == 1);
        CHECK(count(vm.store.connections.front()->received, allow_stale) == 1);
    }
}

// Nothing is published for some seconds after the first start. If 300 VMs polled every 0.4 s, the
// store would answer 750 times a second that there is nothing; so seeds poll and inform the others.
TEST_CASE("before anything is published only seeds ask often", "[store_reader][load]")
{
    starting_vm seed{true};
    seed.run(1'000ms);
    CHECK(seed.request_count() >= 3);
    // A read that may lag would show the publication seconds later.
    CHECK(count(seed.store.connections.front()->received, allow_stale) == 1);
    starting_vm other{false};
    other.run(900ms);
    CHECK(other.request_count() == 1);
}

// Guards against a missed order: one given before this VM started isn't reported by the watch.
TEST_CASE("a VM that starts learns of the orders in force", "[store_reader][evacuation]")
{
    starting_vm vm{true};
    vm.reply = [](std::string_view request)
    {
        return contains(request, "prefix=op") ? operator_entries_page(east_at_5, 9)
                                              : std::string{not_published};
    };
    vm.run(200ms);
    CHECK(vm.core.directory.evacuations().covers(east));
    // A read that may lag counts as of its newest item: a peer's set as of revision 6 is newer.
    CHECK(vm.core.directory.evacuations().known().as_of == 5);
    vm.core.apply_evacuations({6, {}}, "test");
    CHECK_FALSE(vm.core.directory.evacuations().covers(east));
}

// The store dropped the history in which an order was given, and later the history in which it was
// revoked, so the watch reports neither.
TEST_CASE("orders are read again when the history was dropped", "[store_reader][evacuation]")
{
    starting_vm vm{true};
    int reads = 0;
    vm.reply = [&reads](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            // The first two reads are the one that may lag and the current one.
            ++reads;
            return operator_entries_page(reads <= 2 ? std::string_view{} : east_at_5,
                                         3U + 10U * reads);
        }
        if (contains(request, "prefix=servers"))
        {
            return ok_answer(R"({"items":[],"hasMore":false,"atRev":4})");
        }
        return std::string{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"};
    };
    vm.run(1'500ms);
    CHECK(reads >= 3);
    CHECK(vm.core.directory.evacuations().covers(east));
}

TEST_CASE("an order that the watch reports is in force, and passed on, until it is revoked",
          "[store_reader][evacuation]")
{
    starting_vm vm{true};
    int report_count = 0;
    vm.core.on_evacuations_read = [&report_count]
    {
        ++report_count;
    };
    int watches = 0;
    vm.reply = [&watches](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        if (contains(request, "prefix=servers"))
        {
            return ok_answer(R"({"items":[],"hasMore":false,"atRev":4})");
        }
        ++watches;
        std::string_view const order_added =
            R"({"events":[{"key":"op/evacuate/east","value":"","revision":5}],"atRev":5})";
        std::string_view const order_revoked =
            R"({"events":[{"key":"op/evacuate/east","revision":8,"deleted":true}],"atRev":8})";
        return ok_answer(watches == 1   ? order_added
                         : watches == 2 ? order_revoked
                                        : R"({"events":[],"atRev":8})");
    };
    auto const run_until = [&vm](auto const& condition)
    {
        for (int round = 0; round < 100 && !condition(); ++round)
        {
            vm.run(20ms);
        }
        CHECK(condition());
    };
    run_until([&] { return vm.core.directory.evacuations().covers(east); });
    CHECK(report_count == 1);
    run_until([&] { return !vm.core.directory.evacuations().covers(east); });
    CHECK(report_count == 2);
    CHECK(vm.core.directory.evacuations().known().as_of == 8);
}

namespace
{

// {"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":24,"state":"ready",
//  "coldLeftMs":0,"sequence":4}
constexpr std::string_view listed_entry =
    "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwi"
    "c2xvdHMiOjI0LCJzdGF0ZSI6InJlYWR5IiwiY29sZExlZnRNcyI6MCwic2VxdWVuY2UiOjR9";

/// \brief A store that can be restored from a copy of an earlier state.
struct restorable_store
{
    std::map<std::string, int> items;
    std::vector<std::pair<std::string, int>> removed;
    int revision = 10;
    int era = 4;

    void write(std::string const& key)
    {
        items[key] = ++revision;
    }

    void remove(std::string const& key)
    {
        items.erase(key);
        removed.emplace_back(key, ++revision);
    }

    /// \brief Restores the state of `copy` and begins the next era.
    void restore_from(restorable_store const& copy)
    {
        int const next = era + 1;
        *this = copy;
        era = next;
    }

    [[nodiscard]] std::string reply(std::string_view request) const
    {
        bool const watches = contains(request, "kv-watch");
        int after = 0;
        if (watches)
        {
            std::size_t const at = request.find("afterRev=") + 9;
            after = std::stoi(std::string{request.substr(at, 12)});
        }
        if (watches && after > revision)
        {
            return with_era("410 Gone", "");
        }
        std::string rows;
        for (auto const& [key, at] : items)
        {
            std::string_view const wanted = contains(request, "prefix=op") ? "op/" : "servers/";
            if (at > after && (watches || key.starts_with(wanted)))
            {
                rows += rows.empty() ? "" : ",";
                rows += row(key, at);
            }
        }
        for (auto const& [key, at] : removed)
        {
            if (watches && at > after)
            {
                rows += std::string{rows.empty() ? "" : ","} + R"({"key":")" + key +
                        R"(","revision":)" + std::to_string(at) + R"(,"deleted":true})";
            }
        }
        std::string const name = watches ? "events" : "items";
        return with_era("200 OK", R"({")" + name + R"(":[)" + rows +
                                      R"(],"hasMore":false,"atRev":)" + std::to_string(revision) +
                                      "}");
    }

    [[nodiscard]] static std::string row(std::string const& key, int at)
    {
        std::string_view const value = key == "op/config"            ? "eyJ2ZXJzaW9uIjozfQ=="
                                       : key.starts_with("servers/") ? listed_entry
                                                                     : "";
        return R"({"key":")" + key + R"(","value":")" + std::string{value} + R"(","revision":)" +
               std::to_string(at) + "}";
    }

    [[nodiscard]] std::string with_era(std::string_view status, std::string const& body) const
    {
        return "HTTP/1.1 " + std::string{status} + "\r\nStore-Era: " + std::to_string(era) +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

/// \brief A VM that reads a `restorable_store`.
struct reading_vm : starting_vm
{
    reading_vm() : starting_vm{true}
    {
        content.write("op/config");
        content.write("servers/i-1");
        content.write("servers/i-2");
        reply = [this](std::string_view request)
        {
            return content.reply(request);
        };
        run_until([this] { return is_listed("i-2") && core.is_active_reader; });
    }

    template <class Condition>
    void run_until(Condition const& condition)
    {
        for (int round = 0; round < 500 && !condition(); ++round)
        {
            run(20ms);
        }
        REQUIRE(condition());
    }

    [[nodiscard]] bool is_listed(std::string_view name) const
    {
        auto const latest = core.directory.latest(name);
        return latest && core.directory.find(*latest)->info.listed;
    }

    restorable_store content;
};

} // namespace

// Guards against new upstreams that no VM learns of because the restored store assigns revisions a
// second time.
TEST_CASE("what is written after the store came back from a copy is heard",
          "[store_reader][store_era]")
{
    reading_vm vm;
    restorable_store const copy = vm.content;
    for (int i = 0; i < 20; ++i)
    {
        vm.content.write("servers/i-1");
    }
    vm.content.write("servers/i-3");
    vm.run_until([&] { return vm.is_listed("i-3"); });
    vm.content.restore_from(copy);
    vm.content.write("servers/i-4");
    vm.content.write("servers/i-1");
    vm.run_until([&] { return vm.is_listed("i-4"); });
    // An upstream that has not written its entry again yet may still do so.
    CHECK(vm.is_listed("i-3"));
    vm.content.remove("servers/i-1");
    vm.run_until([&] { return !vm.is_listed("i-1"); });
    vm.run_until([&] { return !vm.is_listed("i-3"); });
    CHECK(vm.is_listed("i-2"));
}

// Guards against calls to an upstream that is gone: the copy has its entry but not its removal.
TEST_CASE("a removed upstream is not listed again after the store was restored from a copy",
          "[store_reader][store_era]")
{
    reading_vm vm;
    restorable_store const copy = vm.content;
    vm.content.remove("servers/i-2");
    vm.run_until([&] { return !vm.is_listed("i-2"); });
    vm.content.restore_from(copy);
    vm.content.write("servers/i-5");
    vm.run_until([&] { return vm.is_listed("i-5"); });
    CHECK_FALSE(vm.is_listed("i-2"));
    // The upstream is alive after all and writes its entry again.
    vm.content.write("servers/i-2");
    vm.run_until([&] { return vm.is_listed("i-2"); });
}

// Guards against requests to an evacuated zone after the store was restored and before the operator
// has written the order again.
TEST_CASE("an order that the copy of the store lacks stays in force until it can be written again",
          "[store_reader][store_era][evacuation]")
{
    reading_vm vm;
    restorable_store const copy = vm.content;
    vm.content.write("op/evacuate/east");
    vm.run_until([&] { return vm.core.directory.evacuations().covers(east); });
    vm.content.restore_from(copy);
    vm.content.write("servers/i-6");
    vm.run_until([&] { return vm.is_listed("i-6"); });
    CHECK(vm.core.directory.evacuations().covers(east));
    SECTION("written again")
    {
        vm.content.write("op/evacuate/east");
        vm.run(transport::store_reader::rewrite_time + 500ms);
        CHECK(vm.core.directory.evacuations().covers(east));
        vm.content.remove("op/evacuate/east");
        vm.run_until([&] { return !vm.core.directory.evacuations().covers(east); });
    }
    SECTION("not written again")
    {
        vm.run_until([&] { return !vm.core.directory.evacuations().covers(east); });
    }
}
