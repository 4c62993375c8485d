#include "starting_vm.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <span>
#include <string>
#include <string_view>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;

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
