#include "forward_fixture.hpp"
#include "transport/store_reader.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view not_published = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view allow_stale = "allowStale=1";

int null_descriptor()
{
    static int const descriptor = ::fileno(std::tmpfile());
    return descriptor;
}

std::size_t count(std::string const& text, std::string_view pattern)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(pattern); at != std::string::npos;
         at = text.find(pattern, at + 1))
    {
        ++found;
    }
    return found;
}

/// \brief An entry VM that starts without data, and the store that it reads.
struct starting_vm
{
    explicit starting_vm(bool is_seed)
        : store{context, "store", "a"}, log{null_descriptor(), "vm"},
          settings{settings_for(is_seed)}, core{context, settings, dialect, log}, reader{core}
    {
        reader.start();
    }

    protocol::forward_settings settings_for(bool is_seed) const
    {
        protocol::forward_settings chosen;
        chosen.zone = "a";
        chosen.datagrams = {0x7f000001, 7200};
        chosen.platform = store.make_member("store", 1).address;
        chosen.seeds = {{0x7f000002, 7200}};
        if (is_seed)
        {
            chosen.seeds.push_back(chosen.datagrams);
        }
        return chosen;
    }

    /// \brief Runs for `time` and answers each request with `reply`.
    void run(state::duration time)
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
        for (auto const& each : store.connections)
        {
            std::size_t& answered = answer_counts[each.get()];
            if (count(each->received, "GET ") > answered)
            {
                ++answered;
                std::string_view const text = each->received;
                each->send(reply(text.substr(text.rfind("GET "))));
            }
        }
    }

    [[nodiscard]] std::size_t request_count() const
    {
        std::size_t requests = 0;
        for (auto const& each : store.connections)
        {
            requests += count(each->received, "GET ");
        }
        return requests;
    }

    transport::net::io_context context;
    platform::platform_dialect dialect;
    scripted_upstream store;
    transport::decision_log log;
    protocol::forward_settings settings;
    transport::forward_core core;
    transport::store_reader reader;
    /// \brief Returns the store's answer to a request.
    std::function<std::string(std::string_view)> reply = [](std::string_view /*request*/)
    {
        return std::string{not_published};
    };
    std::map<scripted_connection*, std::size_t> answer_counts;
};

std::string ok_answer(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

// Returns the store's answer to a read: a configuration and `orders`, as of `revision`.
std::string operator_entries_page(std::string_view orders, std::uint64_t revision)
{
    // {"version":3}
    return ok_answer(
        R"({"items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjozfQ==","revision":2})" +
        std::string{orders} + R"(],"hasMore":false,"atRev":)" + std::to_string(revision) + "}");
}

constexpr std::string_view east_at_5 = R"(,{"key":"op/evacuate/east","value":"","revision":5})";
constexpr auto east = state::id_from_name<state::zone_id>("east");

bool contains(std::string_view request, std::string_view pattern)
{
    return request.find(pattern) != std::string_view::npos;
}

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

// Load pattern: all VMs of a fleet of hundreds start at once with thousands of upstreams. Each VM
// passed on to all others the list that all of them had read.
TEST_CASE("the list that a VM reads at its start is no news to a large fleet",
          "[store_reader][load]")
{
    starting_vm vm{true};
    // {"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1","slots":24,"state":"ready",
    //  "coldLeftMs":0,"sequence":4}
    constexpr std::string_view entry =
        "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwi"
        "c2xvdHMiOjI0LCJzdGF0ZSI6InJlYWR5IiwiY29sZExlZnRNcyI6MCwic2VxdWVuY2UiOjR9";
    auto const item = [entry](std::string_view name, int revision)
    {
        return R"({"key":"servers/)" + std::string{name} + R"(","value":")" + std::string{entry} +
               R"(","revision":)" + std::to_string(revision) + "}";
    };
    vm.reply = [&item](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        if (contains(request, "prefix=servers"))
        {
            // The read that may lag lacks the newest upstream.
            std::string const items = contains(request, allow_stale)
                                          ? item("i-1", 1)
                                          : item("i-1", 1) + "," + item("i-2", 4);
            return ok_answer(R"({"items":[)" + items + R"(],"hasMore":false,"atRev":4})");
        }
        return ok_answer(R"({"events":[],"atRev":4})");
    };
    for (int round = 0; round < 100 && vm.core.directory.entries().size() < 2; ++round)
    {
        vm.run(20ms);
    }
    REQUIRE(vm.core.directory.entries().size() == 2);
    REQUIRE(vm.core.unreported.size() == 1);
    CHECK(vm.core.unreported.front().name == "i-2");
    REQUIRE(vm.core.unreported_at_start.size() == 1);
    CHECK(vm.core.unreported_at_start.front().name == "i-1");
}

namespace
{

constexpr std::string_view service_unavailable =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// Returns a page of the list with one upstream: `{"service":"s",...,"address":"10.0.0.9:80",...}`.
std::string list_page(std::string_view name, bool has_more)
{
    return ok_answer(
        R"({"items":[{"key":"servers/)" + std::string{name} +
        R"(","value":")"
        R"(eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIiwi)"
        R"(c2xvdHMiOjI0LCJzdGF0ZSI6InJlYWR5IiwiY29sZExlZnRNcyI6MCwic2VxdWVuY2UiOjR9)"
        R"(","revision":1}],"hasMore":)" +
        (has_more ? "true" : "false") + R"(,"atRev":4})");
}

} // namespace

// Load pattern: 584 VMs lose power together before 6,000 upstreams, and all read a list of 13 pages
// over one link of 1 Gbit/s. Nobody was served until the last page had come.
TEST_CASE("calls are routed from the first page of the list on", "[store_reader][load]")
{
    starting_vm vm{false};
    vm.reply = [](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        bool const is_first = !contains(request, "afterRev=");
        return is_first ? list_page("i-1", true) : std::string{service_unavailable};
    };
    for (int round = 0; round < 100 && !vm.core.can_route(); ++round)
    {
        vm.run(20ms);
    }
    CHECK(vm.core.can_route());
    CHECK(vm.core.coverage == transport::list_coverage::partial);
    CHECK(vm.core.directory.entries().size() == 1);
}

// After a loss of power no VM has a whole list for seconds. Guards against a fleet without readers,
// which would miss what operators change meanwhile.
TEST_CASE("a VM with a part of the list becomes a reader", "[store_reader]")
{
    starting_vm vm{true};
    vm.reply = [](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        if (!contains(request, "prefix=servers"))
        {
            return ok_answer(R"({"events":[],"atRev":4})");
        }
        bool const is_later_page = contains(request, "afterRev=");
        bool const is_rejected = is_later_page && contains(request, allow_stale);
        return is_rejected ? std::string{service_unavailable}
                           : list_page(is_later_page ? "i-2" : "i-1", !is_later_page);
    };
    for (int round = 0; round < 200 && !vm.core.is_active_reader; ++round)
    {
        vm.run(20ms);
    }
    CHECK(vm.core.is_active_reader);
    for (int round = 0; round < 200 && vm.core.coverage != transport::list_coverage::whole; ++round)
    {
        vm.run(20ms);
    }
    CHECK(vm.core.coverage == transport::list_coverage::whole);
}

// Guards against losing an upstream that started while a VM read its first pages: peers report it,
// and the later pages lag behind its start.
TEST_CASE("a list of several pages that lag removes nothing", "[store_reader]")
{
    starting_vm vm{false};
    vm.reply = [](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        bool const is_later_page = contains(request, "afterRev=");
        return list_page(is_later_page ? "i-2" : "i-1", !is_later_page);
    };
    state::service_member reported;
    reported.name = "i-3";
    reported.service = "s";
    reported.zone = "a";
    reported.revision = 2;
    vm.core.apply_members(std::span{&reported, 1}, "fleet");
    for (int round = 0; round < 100 && vm.core.coverage != transport::list_coverage::whole; ++round)
    {
        vm.run(20ms);
    }
    REQUIRE(vm.core.coverage == transport::list_coverage::whole);
    auto const known = vm.core.directory.latest("i-3");
    REQUIRE(known);
    CHECK(vm.core.directory.find(*known)->info.listed);
}

// Load pattern: as above. A page that took over 0.7 s made its reader begin the list again, so that
// most of what the store's link carried was for nothing.
TEST_CASE("a page that fails is read again, and not the list", "[store_reader][load]")
{
    starting_vm vm{false};
    int first_pages = 0;
    int second_pages = 0;
    vm.reply = [&](std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        if (!contains(request, "prefix=servers"))
        {
            return ok_answer(R"({"events":[],"atRev":4})");
        }
        if (!contains(request, "afterRev="))
        {
            first_pages += contains(request, allow_stale) ? 1 : 0;
            return list_page("i-1", true);
        }
        ++second_pages;
        return second_pages <= 2 ? std::string{service_unavailable} : list_page("i-2", false);
    };
    for (int round = 0; round < 200 && vm.core.coverage != transport::list_coverage::whole; ++round)
    {
        vm.run(20ms);
    }
    CHECK(vm.core.coverage == transport::list_coverage::whole);
    CHECK(vm.core.directory.entries().size() == 2);
    CHECK(first_pages == 1);
    CHECK(second_pages == 3);
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
