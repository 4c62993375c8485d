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
    directory_entry const* const entry =
        directory.find(state::id_from_name<state::member_key>(name));
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
    directory.merge(member_at("i-1", 5), now);
    CHECK(may_take_work(directory, "i-1", now));

    CHECK(directory.merge(leaving(member_at("i-1", 7)), now) == directory_change::leaving);
    directory.merge(member_at("i-1", 6), now);
    directory.merge(member_at("i-1", 9), now);
    CHECK_FALSE(may_take_work(directory, "i-1", now));
}

// The store was away for seconds and upstreams' entries ran out meanwhile, though they live. If the
// removals counted at once, every entry VM would have no upstream left and refuse all callers.
TEST_CASE("entries that lapsed in an outage stay usable until they can be back", "[directory]")
{
    service_directory directory;
    state::time_point const start{10s};
    directory.merge(member_at("i-1", 5), start);
    directory.platform_recovered(start + 5s);
    directory.merge(removed(member_at("i-1", 5), 8), start + 5s);

    CHECK(may_take_work(directory, "i-1", start + 6s));
    CHECK_FALSE(may_take_work(directory, "i-1", start + 5s + service_directory::lapse_grace));

    directory.merge(member_at("i-1", 9), start + 6s);
    CHECK(may_take_work(directory, "i-1", start + 20s));
}

TEST_CASE("without an outage a removal counts at once", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(member_at("i-1", 5), now);
    directory.merge(removed(member_at("i-1", 5), 6), now);
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
        in_order.merge(each, now);
    }
    std::minstd_rand random{1};
    for (int round = 0; round < 200; ++round)
    {
        std::shuffle(news.begin(), news.end(), random);
        service_directory shuffled;
        for (auto const& each : news)
        {
            shuffled.merge(each, now);
        }
        CHECK(shuffled.digest() == in_order.digest());
        for (char const* name : {"i-1", "i-2", "i-3"})
        {
            CHECK(may_take_work(shuffled, name, now) == may_take_work(in_order, name, now));
        }
    }
}

// -- starts under the same name -------------------------------------------------------------------

namespace
{

state::service_member started(state::service_member member, std::uint64_t start)
{
    member.started = state::incarnation{start};
    return member;
}

state::service_member unusable(std::string name, std::uint64_t revision)
{
    state::service_member member;
    member.name = std::move(name);
    member.revision = revision;
    member.usable = false;
    return member;
}

bool latest_takes_work(service_directory const& directory, std::string const& name,
                       state::time_point now)
{
    auto const key = directory.latest(name);
    return key && directory.may_take_work(*directory.find(*key), now);
}

} // namespace

// An engine crashes while it is reclaimed and its VM starts it again under the same name. Callers
// are refused for want of room while it stands idle: the notice, or the removal, of its former
// start would count for the new one.
TEST_CASE("an upstream that starts again takes work at once", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(leaving(member_at("i-1", 5)), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(directory.merge(started(member_at("i-1", 8), 200), now) == directory_change::listed);
    CHECK(latest_takes_work(directory, "i-1", now));
    CHECK(directory.members_of("lists").size() == 1);

    // The removal of the former start, told by a peer that lags.
    directory.merge(started(removed(member_at("i-1", 5), 7), 100), now);
    CHECK(latest_takes_work(directory, "i-1", now));
    // The platform's own removal doesn't say of which start it is: of the latest.
    directory.merge(removed(member_at("i-1", 8), 9), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    directory.merge(started(member_at("i-1", 11), 300), now);
    CHECK(latest_takes_work(directory, "i-1", now));
}

// A peer that lags, or a list as of seconds ago, tells of the former start after the new one is
// known. Were it to count, calls would be sent to memory and connections that are gone.
TEST_CASE("an older start never overrides a newer one", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 8), 200), now);
    CHECK(directory.merge(started(member_at("i-1", 20), 100), now) == directory_change::none);
    CHECK(directory.merge(started(leaving(member_at("i-1", 21)), 100), now) ==
          directory_change::none);
    CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{200}));
    CHECK(latest_takes_work(directory, "i-1", now));
    CHECK(directory.find(state::key_of("i-1", state::incarnation{100})) == nullptr);
}

// Another writer's entry stands in place of an upstream's own, until the upstream writes again. New
// calls go elsewhere meanwhile; the upstream doesn't count as leaving, so calls that run are left
// alone.
TEST_CASE("an upstream whose entry turns bad gets no new work until it is good again",
          "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 5), 100), now);
    CHECK(directory.merge(unusable("i-1", 7), now) == directory_change::unusable);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK_FALSE(directory.find(*directory.latest("i-1"))->info.leaving);

    // A peer that has only the good one: it is older than the bad one.
    directory.merge(started(member_at("i-1", 6), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(directory.merge(started(member_at("i-1", 9), 100), now) == directory_change::listed);
    CHECK(latest_takes_work(directory, "i-1", now));
}

// The upstream's next entry, after another writer's, says that it leaves. Its callers' drafts have
// to be copied: heard as a mere listing, the notice would be lost, and they would be cut.
TEST_CASE("a notice is heard in the entry that follows a bad one", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 5), 100), now);
    directory.merge(unusable("i-1", 7), now);
    CHECK(directory.merge(started(leaving(member_at("i-1", 9)), 100), now) ==
          directory_change::leaving);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
}

TEST_CASE("an entry without a start is no upstream's where others tell theirs", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(member_at("i-1", 5), now);
    CHECK(latest_takes_work(directory, "i-1", now));
    directory.merge(started(member_at("i-2", 6), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(latest_takes_work(directory, "i-2", now));
}

TEST_CASE("an entry that names another service moves the upstream there", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 5), 100), now);
    state::service_member other = started(member_at("i-1", 6), 100);
    other.service = "unknown";
    directory.merge(other, now);
    CHECK(directory.members_of("lists").empty());
    directory.merge(started(member_at("i-1", 7), 100), now);
    CHECK(directory.members_of("lists").size() == 1);
    CHECK(directory.members_of("unknown").empty());
}

// What the store, peers and upstreams tell of five names through up to four starts each, in every
// order: all entry VMs come to the same directory, in which the latest start is as its newest entry
// says, and no former one takes work.
TEST_CASE("news of starts join to the same result in any order", "[directory][seeds]")
{
    state::time_point const now{10s};
    for (unsigned seed = 1; seed <= 10'000; ++seed)
    {
        std::minstd_rand random{seed};
        std::vector<state::service_member> news;
        std::uint64_t revision = 0;
        std::uint64_t start = 0;
        for (char const* const name : {"i-1", "i-2", "i-3", "i-4", "i-5"})
        {
            unsigned const starts = 1 + random() % 4;
            for (unsigned i = 0; i < starts; ++i)
            {
                start += 10;
                news.push_back(started(member_at(name, ++revision), start));
                if (random() % 3 == 0)
                {
                    news.push_back(started(leaving(member_at(name, ++revision)), start));
                }
                if (random() % 3 == 0)
                {
                    news.push_back(started(removed(member_at(name, 0), ++revision), start));
                }
                if (random() % 4 == 0)
                {
                    news.push_back(started(member_at(name, ++revision), start));
                }
            }
        }
        service_directory in_order;
        for (auto const& each : news)
        {
            in_order.merge(each, now);
        }
        std::shuffle(news.begin(), news.end(), random);
        service_directory shuffled;
        for (auto const& each : news)
        {
            shuffled.merge(each, now);
        }
        REQUIRE(shuffled.digest() == in_order.digest());
        REQUIRE(shuffled.members_of("lists").size() == 5);
        for (char const* const name : {"i-1", "i-2", "i-3", "i-4", "i-5"})
        {
            REQUIRE(shuffled.latest(name) == in_order.latest(name));
            REQUIRE(latest_takes_work(shuffled, name, now) ==
                    latest_takes_work(in_order, name, now));
        }
        for (auto const& [key, entry] : shuffled.entries())
        {
            bool const is_latest = shuffled.latest(entry.info.name) == key;
            REQUIRE((is_latest || !shuffled.may_take_work(entry, now)));
        }
    }
}

namespace
{

state::service_member numbered(std::uint64_t number, std::uint64_t revision)
{
    state::service_member member;
    member.name = "i-" + std::to_string(number);
    member.service = "lists";
    member.zone = "a";
    member.slots = 24;
    member.address = {0x0a000001, static_cast<std::uint16_t>(number)};
    member.revision = revision;
    return member;
}

} // namespace

// Load pattern: 60 of 300 VMs miss the same datagram of a release among 1,000 upstreams. Each used
// to fetch all rows from one of two readers, whose link was full for longer than any of them
// waited, so none got them, and all asked again.
TEST_CASE("of a directory only the parts that differ are exchanged", "[service_directory][load]")
{
    state::time_point const now{10s};
    service_directory behind;
    service_directory ahead;
    for (std::uint64_t number = 0; number < 1'000; ++number)
    {
        behind.merge(numbered(number, 1), now);
        ahead.merge(numbered(number, 1), now);
    }
    state::service_member leaving = numbered(17, 2);
    leaving.leaving = true;
    ahead.merge(leaving, now);
    state::service_member removed = numbered(400, 3);
    removed.listed = false;
    ahead.merge(removed, now);
    ahead.merge(numbered(2'000, 4), now);

    auto const rows = ahead.rows_differing_from(behind.digests_by_bucket());
    CHECK(rows.size() < 100);
    for (state::service_member const& row : rows)
    {
        behind.merge(row, now);
    }
    CHECK(behind.digest() == ahead.digest());
    CHECK(behind.digests_by_bucket() == ahead.digests_by_bucket());
    CHECK(ahead.rows_differing_from(behind.digests_by_bucket()).empty());
}
