#include "starting_vm.hpp"
#include "store_items.hpp"
#include "transport/boot_clock.hpp"

#include <plumdale/protocol/fleet_codec.hpp>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;
namespace json = boost::json;

// One entry of another writer among those of sound upstreams: each way in which it may be odd, from
// the list, the watch and a peer, before this VM starts and while it serves.

namespace
{

std::string entry_text(std::uint64_t started)
{
    return json::serialize(valid_entry(started));
}

std::string item_text(std::string_view name, std::string_view value, std::uint64_t revision)
{
    return R"({"key":"servers/)" + std::string{name} + R"(","value":")" + encode_base64(value) +
           R"(","revision":)" + std::to_string(revision) + "}";
}

/// \brief An item as a store hands it out, at a revision, under a name or another key.
using odd_item = std::function<std::string(std::string_view name, std::uint64_t revision)>;

std::string with_field(std::string_view field, std::string_view value)
{
    std::string text = entry_text(0);
    text.pop_back();
    return text + ",\"" + std::string{field} + "\":" + std::string{value} + "}";
}

std::vector<odd_item> odd_items()
{
    std::string const deep = std::string(100'000, '[') + std::string(100'000, ']');
    std::vector<odd_item> items;
    for (std::string const& value : {deep,
                                     with_field("x", deep),
                                     with_field("slots", "1e400"),
                                     with_field("slots", "1e300"),
                                     with_field("slots", "18446744073709551616"),
                                     with_field("slots", std::string(5'000, '9')),
                                     with_field("coldLeftMs", "1e400"),
                                     with_field("sequence", "1e400"),
                                     with_field("address", "\"10.0.0.9:70000\""),
                                     with_field("address", "\"10.0.0.9:65536\""),
                                     with_field("address", "\"10.0.0.9:-1\""),
                                     with_field("address", "\"10.0.0.9:0\""),
                                     with_field("address", "\"10.0.0.9:0x50\""),
                                     with_field("address", "\"0.0.0.0:80\""),
                                     with_field("born", "18446744073709551615"),
                                     with_field("born", "5"),
                                     with_field("born", "1e300"),
                                     with_field("state", "\"none\""),
                                     std::string{"\xff\xfe"},
                                     std::string{},
                                     std::string(300'000, 'x')})
    {
        items.push_back([value](std::string_view name, std::uint64_t revision)
                        { return item_text(name, value, revision); });
    }
    std::string const value = encode_base64(entry_text(0));
    for (std::string const& members :
         {R"("value":")" + value + R"(","leaseId":)" + deep, R"("value":)" + deep,
          R"("value":")" + value + R"(","leaseId":1e400)", std::string{R"("value":01)"},
          R"("value":")" + value + "\",\"by\":\"\xff\""})
    {
        items.push_back(
            [members](std::string_view name, std::uint64_t revision)
            {
                return R"({"key":"servers/)" + std::string{name} + R"(","revision":)" +
                       std::to_string(revision) + "," + members + "}";
            });
    }
    for (std::string const& item :
         {deep, std::string{"null"}, std::string{"{}"}, R"({"key":)" + deep + "}",
          R"({"key":"servers/odd","value":")" + value + R"(","revision":18446744073709551615})",
          R"({"key":"servers/i-1","value":")" + value + R"(","revision":1e400})"})
    {
        items.push_back([item](std::string_view, std::uint64_t) { return item; });
    }
    return items;
}

/// \brief A store whose list and watch the test fills.
struct scripted_store
{
    explicit scripted_store(starting_vm& vm) : vm_{vm}
    {
        vm.reply = [this](std::string_view request)
        {
            return answer(request);
        };
    }

    void run_until(std::function<bool()> const& condition)
    {
        for (int round = 0; round < 400 && !condition(); ++round)
        {
            vm_.run(5ms);
        }
        CHECK(condition());
    }

    void watch(std::string events)
    {
        events_ = std::move(events);
        ++revision_;
        run_until([this] { return events_.empty(); });
        // The reader watches again once it has applied them.
        run_until([this, handed_out = watches_] { return watches_ > handed_out; });
    }

    [[nodiscard]] bool takes_work(std::string_view name) const
    {
        auto const key = vm_.core.directory.latest(name);
        auto const* const entry = key ? vm_.core.directory.find(*key) : nullptr;
        return entry != nullptr && vm_.core.directory.may_take_work(*entry, transport::boot_now());
    }

    std::string list;

private:
    std::string answer(std::string_view request)
    {
        if (contains(request, "prefix=op"))
        {
            return operator_entries_page({}, 3);
        }
        std::string const revision = R"(],"hasMore":false,"atRev":)" + std::to_string(revision_);
        if (contains(request, "prefix=servers"))
        {
            return ok_answer(R"({"items":[)" + list + revision + "}");
        }
        ++watches_;
        return ok_answer(R"({"events":[)" + std::exchange(events_, {}) + revision + "}");
    }

    starting_vm& vm_;
    std::string events_;
    std::uint64_t revision_ = 40;
    std::size_t watches_ = 0;
};

std::string sound_list()
{
    return item_text("i-1", entry_text(0), 5) + "," + item_text("i-2", entry_text(0), 6);
}

} // namespace

// Guards against a VM that ends, or no longer follows the list, or refuses all calls.
TEST_CASE("sound upstreams serve on beside an odd entry that a VM finds at its start",
          "[odd_entry]")
{
    for (odd_item const& odd : odd_items())
    {
        std::string const item = odd("odd", 7);
        INFO(item.substr(0, 120));
        for (bool const is_first : {true, false})
        {
            starting_vm vm{true};
            scripted_store store{vm};
            store.list = is_first ? item + "," + sound_list() : sound_list() + "," + item;
            store.run_until([&] { return vm.core.coverage == transport::list_coverage::whole; });
            CHECK(store.takes_work("i-1"));
            CHECK(store.takes_work("i-2"));
        }
    }
}

TEST_CASE("sound upstreams serve on while odd entries come and go in the watch", "[odd_entry]")
{
    starting_vm vm{true};
    scripted_store store{vm};
    store.list = sound_list();
    store.run_until([&] { return vm.core.is_active_reader; });
    std::uint64_t revision = 41;
    for (odd_item const& odd : odd_items())
    {
        std::string const item = odd("odd", revision);
        INFO(item.substr(0, 120));
        store.watch(item);
        CHECK(store.takes_work("i-1"));
        std::string const later = "i-" + std::to_string(revision + 1);
        store.watch(odd("odd", revision + 1) + "," + item_text(later, entry_text(0), revision + 1));
        CHECK(store.takes_work(later));
        CHECK(store.takes_work("i-1"));
        CHECK(store.takes_work("i-2"));
        revision += 2;
    }
}

TEST_CASE("a VM that finds odd entries alone follows the upstreams that come", "[odd_entry]")
{
    std::string all;
    for (odd_item const& odd : odd_items())
    {
        all += (all.empty() ? "" : ",") + odd("odd-" + std::to_string(all.size()), 7);
    }
    starting_vm vm{true};
    scripted_store store{vm};
    store.list = all;
    store.run_until([&] { return vm.core.is_active_reader; });
    store.watch(item_text("i-3", entry_text(0), 41));
    CHECK(store.takes_work("i-3"));
}

// The entry has the name of a sound upstream, which writes again a heartbeat later.
TEST_CASE("an odd entry under a sound upstream's name counts until the upstream writes again",
          "[odd_entry]")
{
    for (bool const states_starts : {true, false})
    {
        std::uint64_t const start = states_starts ? 1'784'177'076'285 : 0;
        starting_vm vm{true};
        scripted_store store{vm};
        store.list =
            item_text("i-1", entry_text(start), 5) + "," + item_text("i-2", entry_text(start), 6);
        store.run_until([&] { return vm.core.is_active_reader; });
        std::uint64_t revision = 41;
        std::vector<odd_item> items = odd_items();
        for (std::uint64_t const later : {start + 5, start + 3'600'000, UINT64_MAX})
        {
            items.push_back([later](std::string_view name, std::uint64_t at)
                            { return item_text(name, entry_text(later), at); });
        }
        for (odd_item const& odd : items)
        {
            std::string const item = odd("i-1", revision);
            INFO(item.substr(0, 120) << " starts " << states_starts);
            store.watch(item);
            CHECK(store.takes_work("i-2"));
            store.watch(item_text("i-1", entry_text(start), revision + 1));
            CHECK(store.takes_work("i-1"));
            CHECK(store.takes_work("i-2"));
            revision += 2;
        }
    }
}

// Guards against calls to no address at all, and against what one VM took up and passes on.
TEST_CASE("a peer's odd rows take nothing from sound upstreams", "[odd_entry]")
{
    forward_fixture fixture;
    constexpr std::string_view key = "sixteen letters!";
    state::service_member const sound = fixture.upstreams[0]->make_member("plain", 9);
    std::vector<state::service_member> rows(6, sound);
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        rows[i].name = "odd-" + std::to_string(i);
    }
    rows[0].address.port = 0;
    rows[1].address.address = 0;
    rows[2].slots = UINT32_MAX;
    rows[3].service.clear();
    rows[4].started = state::incarnation{UINT64_MAX};
    rows[5].started = state::incarnation{5};
    rows.push_back(sound);
    rows.back().started = state::incarnation{UINT64_MAX};
    rows.back().start_confirmed = true;
    for (std::string const name : {"", "odd name", "odd\r\nX: y"})
    {
        rows.push_back(sound);
        rows.back().name = name;
    }
    for (state::service_member const& row : rows)
    {
        coordination::fleet_update update;
        update.members = {row};
        auto const read = protocol::decode_fleet_update(protocol::encode(update, key), key);
        REQUIRE(read);
        fixture.core.apply_members(read.value().members, "fleet");
        CHECK(fixture.core.directory.find(state::key_of("odd-0", {})) == nullptr);
        CHECK(fixture.core.directory.find(state::key_of("odd name", {})) == nullptr);
        CHECK(fixture.core.directory.find(state::key_of("odd\r\nX: y", {})) == nullptr);
        fixture.core.apply_members(std::array{fixture.upstreams[0]->make_member("plain", 10)},
                                   "store");
        for (std::size_t i = 0; i < forward_fixture::plain_upstreams; ++i)
        {
            auto const member = fixture.upstreams[i]->make_member("plain", 1);
            auto const latest = fixture.core.directory.latest(member.name);
            REQUIRE(latest);
            CHECK(fixture.core.directory.may_take_work(*fixture.core.directory.find(*latest),
                                                       transport::boot_now()));
        }
    }
}
