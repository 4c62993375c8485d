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

// An entry VM receives the notice of a reclaimed upstream from the store, and then an older listing
// from a peer that lags. If the listing counted, new work, such as a caller's draft, would go to an
// upstream that is about to be gone.
TEST_CASE("a notice of leaving is never undone by older or newer listings", "[directory]")
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

// Guards against calls to an upstream that said itself that it leaves, while the store lists it as
// staying, or lists it again after its entry lapsed in an outage.
TEST_CASE("what an upstream says of its leaving is never undone by a listing", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(member_at("i-1", 5), now);
    auto const key = state::id_from_name<state::member_key>("i-1");
    std::uint64_t const before = directory.digest();

    CHECK(directory.mark_leaving(key, now) == directory_change::leaving);
    CHECK(directory.mark_leaving(key, now) == directory_change::none);
    CHECK(directory.digest() != before);
    directory.merge(member_at("i-1", 9), now);
    directory.merge(removed(member_at("i-1", 9), 10), now);
    directory.merge(member_at("i-1", 11), now);
    CHECK_FALSE(may_take_work(directory, "i-1", now));
    CHECK(directory.mark_leaving(state::id_from_name<state::member_key>("i-2"), now) ==
          directory_change::none);
}

// Guards against an upstream that restarted and stays idle, as a late answer of its former start
// said that it leaves.
TEST_CASE("what a former start says of its leaving doesn't concern the latest", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    state::service_member former = member_at("i-1", 5);
    former.started = state::incarnation{1};
    state::service_member latest = member_at("i-1", 6);
    latest.started = state::incarnation{2};
    directory.merge(former, now);
    directory.merge(latest, now);

    CHECK(directory.mark_leaving(state::key_of(former), now) == directory_change::none);
    CHECK(directory.may_take_work(*directory.find(state::key_of(latest)), now));
}

// The store is unreachable for seconds, and the entries of live upstreams expire meanwhile. If the
// removals counted at once, every entry VM would have no upstream left and refuse all callers.
TEST_CASE("entries that lapsed in an outage stay usable until they can be listed again",
          "[directory]")
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

TEST_CASE("without an outage a removal takes effect at once", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(member_at("i-1", 5), now);
    directory.merge(removed(member_at("i-1", 5), 6), now);
    CHECK_FALSE(may_take_work(directory, "i-1", now));
}

TEST_CASE("updates merge to the same result in any order", "[directory]")
{
    state::time_point const now{10s};
    std::vector<state::service_member> updates{
        member_at("i-1", 1),          member_at("i-2", 2),
        leaving(member_at("i-1", 3)), removed(member_at("i-2", 2), 4),
        member_at("i-2", 5),          removed(member_at("i-1", 3), 6),
        member_at("i-3", 7)};
    service_directory in_order;
    for (auto const& each : updates)
    {
        in_order.merge(each, now);
    }
    std::minstd_rand random{1};
    for (int round = 0; round < 200; ++round)
    {
        std::shuffle(updates.begin(), updates.end(), random);
        service_directory shuffled;
        for (auto const& each : updates)
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

// An engine crashes while it is reclaimed, and its VM restarts it under the same name. If the
// notice or the removal of its former start counted for the new one, callers would be refused for
// lack of capacity while it is idle.
TEST_CASE("an upstream that restarts takes work at once", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(leaving(member_at("i-1", 5)), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(directory.merge(started(member_at("i-1", 8), 200), now) == directory_change::listed);
    CHECK(latest_takes_work(directory, "i-1", now));
    CHECK(directory.members_of("lists").size() == 1);

    // The removal of the former start, reported by a peer that lags.
    directory.merge(started(removed(member_at("i-1", 5), 7), 100), now);
    CHECK(latest_takes_work(directory, "i-1", now));
    // The platform's own removal names no start: it applies to the latest.
    directory.merge(removed(member_at("i-1", 8), 9), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    directory.merge(started(member_at("i-1", 11), 300), now);
    CHECK(latest_takes_work(directory, "i-1", now));
}

// A peer that lags, or a list that is seconds old, reports the former start after the new one is
// known. If it counted, calls would rely on memory and connections that are gone.
TEST_CASE("an older start never overrides a newer one", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 8), 200), now);
    CHECK(directory.merge(started(member_at("i-1", 7), 100), now) == directory_change::none);
    CHECK(directory.merge(started(leaving(member_at("i-1", 8)), 100), now) ==
          directory_change::none);
    CHECK(directory.merge(started(removed(member_at("i-1", 8), 20), 100), now) ==
          directory_change::none);
    CHECK(directory.merge(member_at("i-1", 30), now) == directory_change::none);
    CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{200}));
    CHECK(latest_takes_work(directory, "i-1", now));
    CHECK(directory.find(state::key_of("i-1", state::incarnation{100})) == nullptr);
}

// An upstream's answer tells its start before its entry does; entries of the former start that were
// written before are still on their way, with greater revisions than the one that is known here.
TEST_CASE("a start that an upstream stated itself is never overridden by an older one",
          "[directory]")
{
    state::time_point const now{10s};
    for (bool const is_confirmed_last : {false, true})
    {
        service_directory directory;
        state::service_member confirmed = started(member_at("i-1", 8), 200);
        confirmed.start_confirmed = true;
        directory.merge(started(member_at("i-1", 8), 100), now);
        if (is_confirmed_last)
        {
            directory.merge(started(member_at("i-1", 20), 100), now);
        }
        directory.merge(confirmed, now);
        CHECK(directory.merge(started(member_at("i-1", 20), 100), now) == directory_change::none);
        CHECK(directory.merge(started(leaving(member_at("i-1", 21)), 100), now) ==
              directory_change::none);
        CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{200}));
        CHECK(latest_takes_work(directory, "i-1", now));
    }
}

// Guards against one writer that hides an upstream for good: its entry under that name states a
// later start, and the upstream's own next entry would count as one of a former start.
TEST_CASE("a start of another writer counts until the upstream's next entry",
          "[directory][odd_entry]")
{
    state::time_point const now{10s};
    std::vector<state::service_member> updates{started(member_at("i-1", 5), 100),
                                               started(member_at("i-1", 8), 10'000),
                                               started(member_at("i-1", 20), 100)};
    std::sort(updates.begin(), updates.end(),
              [](auto const& a, auto const& b) { return a.revision < b.revision; });
    do
    {
        service_directory directory;
        for (state::service_member const& each : updates)
        {
            directory.merge(each, now);
        }
        CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{100}));
        CHECK(latest_takes_work(directory, "i-1", now));
        CHECK(directory.members_of("lists").size() == 1);
        // A restart after that still replaces it at once.
        CHECK(directory.merge(started(member_at("i-1", 21), 300), now) == directory_change::listed);
        CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{300}));
    } while (std::next_permutation(updates.begin(), updates.end(),
                                   [](auto const& a, auto const& b)
                                   { return a.revision < b.revision; }));
}

// What an upstream said of its leaving is not undone by a writer that claims a start in between.
TEST_CASE("an upstream that announced its leaving stays leaving after another writer's start",
          "[directory][odd_entry]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(leaving(member_at("i-1", 5)), 100), now);
    directory.merge(started(member_at("i-1", 8), 10'000), now);
    directory.merge(started(member_at("i-1", 20), 100), now);
    CHECK(directory.latest("i-1") == state::key_of("i-1", state::incarnation{100}));
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
}

// Another writer replaces an upstream's entry until the upstream writes again. New calls go
// elsewhere meanwhile; the upstream doesn't count as leaving, so running calls continue.
TEST_CASE("an upstream whose entry becomes unusable gets no new work until it is usable",
          "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 5), 100), now);
    CHECK(directory.merge(unusable("i-1", 7), now) == directory_change::unusable);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK_FALSE(directory.find(*directory.latest("i-1"))->info.leaving);

    // A peer has only the usable entry, which is older than the unusable one.
    directory.merge(started(member_at("i-1", 6), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(directory.merge(started(member_at("i-1", 9), 100), now) == directory_change::listed);
    CHECK(latest_takes_work(directory, "i-1", now));
}

// After another writer's entry, the upstream's next one says that it leaves. If it counted as a
// listing only, the notice would be lost, and its callers' drafts would break instead of being
// copied.
TEST_CASE("a notice in the entry that follows an unusable one takes effect", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(started(member_at("i-1", 5), 100), now);
    directory.merge(unusable("i-1", 7), now);
    CHECK(directory.merge(started(leaving(member_at("i-1", 9)), 100), now) ==
          directory_change::leaving);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
}

TEST_CASE("an entry without a start gets no work where most entries have one", "[directory]")
{
    service_directory directory;
    state::time_point const now{10s};
    directory.merge(member_at("i-1", 5), now);
    CHECK(latest_takes_work(directory, "i-1", now));
    directory.merge(started(member_at("i-2", 6), 100), now);
    directory.merge(started(member_at("i-3", 7), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-1", now));
    CHECK(latest_takes_work(directory, "i-2", now));
    CHECK(latest_takes_work(directory, "i-3", now));
}

// Guards against one writer that ends service at all VMs: its entry states a start on a platform
// whose upstreams state none.
TEST_CASE("one entry with a start takes no work from those without one", "[directory][odd_entry]")
{
    state::time_point const now{10s};
    for (std::uint64_t const start : {std::uint64_t{5}, UINT64_MAX})
    {
        for (bool const is_first : {true, false})
        {
            service_directory directory;
            auto const odd = started(member_at("odd", 9), start);
            if (is_first)
            {
                directory.merge(odd, now);
            }
            for (char const* const name : {"i-1", "i-2", "i-3"})
            {
                directory.merge(member_at(name, 5), now);
            }
            directory.merge(odd, now);
            for (char const* const name : {"i-1", "i-2", "i-3"})
            {
                CHECK(latest_takes_work(directory, name, now));
            }
            directory.merge(removed(member_at("odd", 0), 10), now);
            directory.forget(now + 10min);
            directory.merge(member_at("i-4", 11), now + 10min);
            CHECK(latest_takes_work(directory, "i-4", now + 10min));
        }
    }
}

// Guards against a count that drifts: rows that leave, become unusable, are replaced by a later
// start and are forgotten would go on counting as entries with a start.
TEST_CASE("entries that are gone say nothing of starts", "[directory][odd_entry]")
{
    service_directory directory;
    state::time_point const now{10s};
    std::uint64_t revision = 0;
    for (int round = 0; round < 20; ++round)
    {
        std::uint64_t const start = 100 + static_cast<std::uint64_t>(round);
        directory.merge(started(member_at("i-1", ++revision), start), now);
        directory.merge(started(leaving(member_at("i-1", ++revision)), start), now);
        directory.mark_leaving(state::key_of("i-1", state::incarnation{start}), now);
        directory.merge(unusable("i-1", ++revision), now);
        directory.merge(started(member_at("i-2", ++revision), start), now);
        directory.merge(removed(member_at("i-2", 0), ++revision), now);
        directory.forget(now);
    }
    directory.merge(removed(member_at("i-1", 0), ++revision), now);
    directory.merge(member_at("i-3", ++revision), now);
    CHECK(latest_takes_work(directory, "i-3", now));
    directory.merge(started(member_at("i-4", ++revision), 100), now);
    directory.merge(started(member_at("i-5", ++revision), 100), now);
    CHECK_FALSE(latest_takes_work(directory, "i-3", now));
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

// Guards against VMs that send calls to an upstream's former address for good: they missed the
// entry with the new one, and their directory looked like their peers'.
TEST_CASE("directories that know an upstream elsewhere differ, and a move is told", "[directory]")
{
    state::time_point const now{10s};
    for (int field = 0; field < 3; ++field)
    {
        service_directory directory;
        directory.merge(member_at("i-1", 5), now);
        std::uint64_t const before = directory.digest();
        state::service_member elsewhere = member_at("i-1", 6);
        elsewhere.address.port += field == 0 ? 1 : 0;
        elsewhere.service += field == 1 ? "2" : "";
        elsewhere.zone += field == 2 ? "2" : "";
        CHECK(directory.merge(elsewhere, now) == directory_change::moved);
        CHECK(directory.digest() != before);
        elsewhere.revision = 7;
        CHECK(directory.merge(elsewhere, now) == directory_change::none);
        // What an unusable entry says of the place doesn't count, so VMs that missed it agree.
        directory.merge(unusable("i-1", 8), now);
        service_directory other;
        other.merge(member_at("i-1", 5), now);
        other.merge(unusable("i-1", 8), now);
        CHECK(directory.digest() == other.digest());
    }
}

// The store, peers and upstreams report five names with up to four starts each, in random order.
// All entry VMs must get the same directory, in which the latest start is as in its newest entry
// and no former one takes work.
TEST_CASE("updates of starts merge to the same result in any order", "[directory][seeds]")
{
    state::time_point const now{10s};
    for (unsigned seed = 1; seed <= 10'000; ++seed)
    {
        std::minstd_rand random{seed};
        std::vector<state::service_member> updates;
        std::uint64_t revision = 0;
        std::uint64_t start = 0;
        for (char const* const name : {"i-1", "i-2", "i-3", "i-4", "i-5"})
        {
            unsigned const starts = 1 + random() % 4;
            for (unsigned i = 0; i < starts; ++i)
            {
                start += 10;
                updates.push_back(started(member_at(name, ++revision), start));
                if (random() % 3 == 0)
                {
                    updates.push_back(started(leaving(member_at(name, ++revision)), start));
                }
                if (random() % 3 == 0)
                {
                    updates.push_back(started(removed(member_at(name, 0), ++revision), start));
                }
                if (random() % 4 == 0)
                {
                    updates.push_back(started(member_at(name, ++revision), start));
                }
            }
        }
        service_directory in_order;
        for (auto const& each : updates)
        {
            in_order.merge(each, now);
        }
        std::shuffle(updates.begin(), updates.end(), random);
        service_directory shuffled;
        for (auto const& each : updates)
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

// Entries of one name with starts of several writers: the newest entry says which start counts.
TEST_CASE("entries of several writers merge to the newest one in any order",
          "[directory][odd_entry][seeds]")
{
    state::time_point const now{10s};
    for (unsigned seed = 1; seed <= 2'000; ++seed)
    {
        std::minstd_rand random{seed};
        std::vector<state::service_member> updates;
        for (std::uint64_t revision = 1; revision <= 6; ++revision)
        {
            updates.push_back(started(member_at("i-1", revision), 100 + 10 * (random() % 3)));
        }
        state::incarnation const newest = updates.back().started;
        std::shuffle(updates.begin(), updates.end(), random);
        service_directory directory;
        for (state::service_member const& each : updates)
        {
            directory.merge(each, now);
        }
        REQUIRE(directory.latest("i-1") == state::key_of("i-1", newest));
        REQUIRE(latest_takes_work(directory, "i-1", now));
        REQUIRE(directory.members_of("lists").size() == 1);
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

// Load pattern: 60 of 300 VMs miss the same datagram of a release among 1,000 upstreams. If each
// fetched all rows from one of two readers, the reader's link would be full for longer than any VM
// waits: all requests would time out and be repeated.
TEST_CASE("only the buckets of a directory that differ are exchanged", "[service_directory][load]")
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

    constexpr std::size_t unlimited = 10'000;
    auto const rows = ahead.rows_differing_from(behind.digests_by_bucket(), unlimited, 1);
    CHECK(rows.members.size() < 100);
    CHECK(rows.is_rest);
    for (state::service_member const& row : rows.members)
    {
        behind.merge(row, now);
    }
    CHECK(behind.digest() == ahead.digest());
    CHECK(behind.digests_by_bucket() == ahead.digests_by_bucket());
    CHECK(ahead.rows_differing_from(behind.digests_by_bucket(), unlimited, 1).members.empty());
}
