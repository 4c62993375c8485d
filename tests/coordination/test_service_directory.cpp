#include <plumdale/coordination/service_directory.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

state::service_member member_at(std::string name, std::uint64_t revision)
{
    state::service_member member;
    member.name = std::move(name);
    member.service = "lists";
    member.zone = "a";
    member.slots = 24;
    member.revision = revision;
    return member;
}

state::service_member leaving(state::service_member member)
{
    member.leaving = true;
    return member;
}

state::service_member removed(state::service_member member, std::uint64_t revision)
{
    member.listed = false;
    member.revision = revision;
    return member;
}

bool may_take_work(service_directory const& directory, std::string const& name,
                   state::time_point now)
{
    directory_entry const* const entry = directory.find(state::named<state::member_key>(name));
    return entry != nullptr && directory.may_take_work(*entry, now);
}

} // namespace

// A caller's draft is sent to an upstream that was reclaimed. One entry VM hears the notice from
// the store, then the same entry VM hears an older listing from a peer that lags. Were the listing
// to win, new work would go to an upstream that is about to be gone.
TEST_CASE("a notice of leaving is never taken back by older or newer listings", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.join(member_at("i-1", 5), now);
    CHECK(may_take_work(directory, "i-1", now));

    CHECK(directory.join(leaving(member_at("i-1", 7)), now) == directory_change::leaving);
    directory.join(member_at("i-1", 6), now);
    directory.join(member_at("i-1", 9), now);
    CHECK_FALSE(may_take_work(directory, "i-1", now));
}

// The store was away for seconds and upstreams' entries ran out meanwhile, though they live. If the
// removals counted at once, every entry VM would have no upstream left and refuse all callers.
TEST_CASE("entries that lapsed in an outage stay usable until they can be back", "[directory]")
{
    service_directory directory;
    state::time_point const start{10s};
    directory.join(member_at("i-1", 5), start);
    directory.platform_returned(start + 5s);
    directory.join(removed(member_at("i-1", 5), 8), start + 5s);

    CHECK(may_take_work(directory, "i-1", start + 6s));
    CHECK_FALSE(may_take_work(directory, "i-1", start + 5s + service_directory::lapse_grace));

    directory.join(member_at("i-1", 9), start + 6s);
    CHECK(may_take_work(directory, "i-1", start + 20s));
}

TEST_CASE("without an outage a removal counts at once", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.join(member_at("i-1", 5), now);
    directory.join(removed(member_at("i-1", 5), 6), now);
    CHECK_FALSE(may_take_work(directory, "i-1", now));
}

TEST_CASE("news joins to the same result in any order", "[directory]")
{
    state::time_point const now{10s};
    std::vector<state::service_member> news{
        member_at("i-1", 1),          member_at("i-2", 2),
        leaving(member_at("i-1", 3)), removed(member_at("i-2", 2), 4),
        member_at("i-2", 5),          removed(member_at("i-1", 3), 6),
        member_at("i-3", 7)};
    service_directory in_order;
    for (auto const& each : news)
    {
        in_order.join(each, now);
    }
    std::minstd_rand random{1};
    for (int round = 0; round < 200; ++round)
    {
        std::shuffle(news.begin(), news.end(), random);
        service_directory shuffled;
        for (auto const& each : news)
        {
            shuffled.join(each, now);
        }
        CHECK(shuffled.digest() == in_order.digest());
        for (char const* name : {"i-1", "i-2", "i-3"})
        {
            CHECK(may_take_work(shuffled, name, now) == may_take_work(in_order, name, now));
        }
    }
}
