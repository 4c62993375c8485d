#include "platform/platform_dialect.hpp"
#include "store_items.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace plumdale;
using test::encode_base64;
namespace json = boost::json;

// Load pattern: a store with other writers. Valid entries are as upstreams write them; damaged ones
// are as a writer of another format, an older program or a torn write leaves them.

namespace
{

json::object valid_entry()
{
    return test::valid_entry(1'784'177'076'285);
}

json::object item(std::string_view key, std::string_view value, std::uint64_t revision)
{
    return {{"key", json::string_view{key.data(), key.size()}},
            {"value", encode_base64(value)},
            {"revision", revision}};
}

protocol::store_page page_of(json::array items)
{
    json::object const body{{"items", std::move(items)}, {"hasMore", false}, {"atRev", 40}};
    auto page = platform::platform_dialect{}.read_page(json::serialize(body));
    REQUIRE(page);
    return std::move(page.value());
}

// Reads a page with the entry between two valid ones and checks that those are decoded.
protocol::store_page read_between_valid_entries(std::string_view value)
{
    std::string const good = json::serialize(valid_entry());
    protocol::store_page page =
        page_of({item("servers/i-1", good, 5), item("servers/i-2", value, 6),
                 item("servers/i-3", good, 7)});
    REQUIRE(page.members.size() >= 2);
    CHECK(page.members.front().name == "i-1");
    CHECK(page.members.back().name == "i-3");
    return page;
}

void check_unusable(std::string_view value, std::string_view reason)
{
    INFO(value);
    protocol::store_page const page = read_between_valid_entries(value);
    CHECK(page.members.size() == 2);
    REQUIRE(page.unusable.size() == 1);
    CHECK(page.unusable[0].name == "i-2");
    CHECK(page.unusable[0].revision == 6);
    CHECK(page.unusable[0].reason == reason);
}

} // namespace

TEST_CASE("an upstream's entry is read with its incarnation", "[store_entries]")
{
    protocol::store_page const page = read_between_valid_entries(json::serialize(valid_entry()));
    REQUIRE(page.members.size() == 3);
    CHECK(page.unusable.empty());
    CHECK(page.members[1].started == state::incarnation{1'784'177'076'285});
    CHECK(page.members[1].slots == 24);
    CHECK(page.members[1].usable);
}

// An entry of another writer lacks a field or has one of another type. Were it used, a call would
// go to an address without a server, or wait there until its timeout. The entry is skipped, the
// other entries of the page stay valid, and the log can name the field.
TEST_CASE("an entry with a field missing or of another type names no upstream", "[store_entries]")
{
    for (auto const& field : valid_entry())
    {
        std::string const name = field.key();
        json::object missing = valid_entry();
        missing.erase(name);
        if (name != "born")
        {
            check_unusable(json::serialize(missing), name);
        }
        for (json::value const& other :
             {json::value(nullptr), json::value(true), json::value(json::array{1}),
              json::value(json::object{}), json::value(-3), json::value(1.5), json::value("")})
        {
            json::object changed = valid_entry();
            changed[name] = other;
            check_unusable(json::serialize(changed), name);
        }
    }
}

TEST_CASE("an entry with an unknown state or numbers out of range names no upstream",
          "[store_entries]")
{
    std::vector<std::pair<std::string, json::value>> const cases{
        {"state", "waiting"},     {"state", "READY"},           {"slots", 0},
        {"slots", 1'000'000'000}, {"address", "10.0.0.9"},      {"address", "10.0.0.9:0x"},
        {"address", "host:80"},   {"address", "10.0.0.9:99999"}};
    for (auto const& [name, value] : cases)
    {
        json::object changed = valid_entry();
        changed[name] = value;
        check_unusable(json::serialize(changed), name);
    }
    for (char const* const value : {"", "{", "[]", "7", "null", "\xff\xfe{}", "{\"service\":"})
    {
        check_unusable(value, "value");
    }
}

TEST_CASE("entries without an incarnation are valid", "[store_entries]")
{
    json::object without = valid_entry();
    without.erase("born");
    protocol::store_page const page = read_between_valid_entries(json::serialize(without));
    REQUIRE(page.members.size() == 3);
    CHECK(page.members[1].started.value == 0);
}

TEST_CASE("invalid keys name no upstream, and a removal is not reported as damage",
          "[store_entries]")
{
    std::string const good = json::serialize(valid_entry());
    protocol::store_page const page =
        page_of({item("servers/", good, 5), item("servers/a/b", good, 6),
                 item("servers/" + std::string(300, 'x'), good, 7),
                 json::object{{"key", "servers/i-9"}, {"revision", 8}, {"deleted", true}},
                 json::object{{"key", 7}}, json::value(nullptr)});
    REQUIRE(page.members.size() == 1);
    CHECK(page.members[0].name == "i-9");
    CHECK_FALSE(page.members[0].listed);
    CHECK(page.unusable.size() == 3);
}

namespace
{

// Items as a store hands them out that passes on what its writers sent.
std::vector<std::string> odd_items()
{
    std::string const value = encode_base64(json::serialize(valid_entry()));
    std::string const deep = std::string(200'000, '[') + std::string(200'000, ']');
    std::string const sound = R"("key":"servers/odd","value":")" + value + R"(","revision":6)";
    return {"{" + sound + R"(,"leaseId":)" + deep + "}",
            "{" + sound + R"(,"leaseId":01})",
            "{" + sound + R"(,"leaseId":1e400})",
            "{" + sound + ",\"by\":\"\xff\"}",
            "{" + sound + R"(,"by":"\ud800"})",
            R"({"key":)" + deep + R"(,"value":")" + value + R"(","revision":6})",
            "{\"key\":\"servers/\xff\",\"value\":\"" + value + "\",\"revision\":6}",
            R"({"key":"servers/odd","value":)" + deep + R"(,"revision":6})",
            R"({"key":"servers/odd","value":7,"revision":6})",
            R"({"key":"servers/odd","value":")" + value + R"(","revision":18446744073709551615})",
            R"({"key":"servers/odd","value":")" + value + R"(","revision":1e400})",
            R"({"key":"servers/odd","value":")" + value + R"(","revision":-1})",
            R"({"key":"servers/odd","value":")" + value + R"("})",
            deep,
            "null",
            "7",
            R"("text")",
            "[]",
            "{}"};
}

} // namespace

// Guards against one item that takes the whole page with it: VMs would no longer follow the list,
// or take all later upstreams for removed.
TEST_CASE("an odd item costs no other one, in a list and in a watch", "[store_entries][odd_entry]")
{
    std::string const good = json::serialize(valid_entry());
    std::string const first = json::serialize(item("servers/i-1", good, 5));
    std::string const last = json::serialize(item("servers/i-3", good, 7));
    for (std::string const& odd : odd_items())
    {
        INFO(odd.substr(0, 80));
        for (std::string const& items :
             {first + "," + odd + "," + last, odd + "," + first + "," + last,
              first + "," + last + "," + odd})
        {
            std::string const tail = "],\"hasMore\":true,\"atRev\":40}";
            auto const page = platform::platform_dialect{}.read_page("{\"items\":[" + items + tail);
            REQUIRE(page);
            auto const changes =
                platform::platform_dialect{}.read_changes("{\"events\":[" + items + tail);
            REQUIRE(changes);
            for (protocol::store_page const& each : {page.value(), changes.value()})
            {
                CHECK(each.revision == 40);
                CHECK(each.newest_revision == 7);
                CHECK(each.members.size() + each.unusable.size() <= 3);
                std::size_t sound = 0;
                for (state::service_member const& member : each.members)
                {
                    sound += member.name == "i-1" || member.name == "i-3" ? 1 : 0;
                    CHECK(member.revision <= 40);
                }
                CHECK(sound == 2);
                CHECK_FALSE(each.next_page.empty());
            }
        }
    }
}

TEST_CASE("a page of odd items alone is followed, or refused if it names no next one",
          "[store_entries][odd_entry]")
{
    for (std::string const& odd : odd_items())
    {
        INFO(odd.substr(0, 80));
        auto const last = platform::platform_dialect{}.read_page(
            "{\"items\":[" + odd + "],\"hasMore\":false,\"atRev\":40}");
        REQUIRE(last);
        CHECK(last.value().members.size() <= 1);
        auto const inner = platform::platform_dialect{}.read_page(
            "{\"items\":[" + odd + "],\"hasMore\":true,\"atRev\":40}");
        CHECK((!inner || inner.value().next_page == "servers/odd"));
    }
}

// A damaged revision would make all later entries of its name older ones.
TEST_CASE("a revision far beyond the store's own leaves its name as it was",
          "[store_entries][odd_entry]")
{
    std::string const good = json::serialize(valid_entry());
    protocol::store_page const page =
        page_of({item("servers/i-1", good, 1ULL << 40U), item("op/evacuate/a", "", 1ULL << 40U),
                 item("servers/i-2", good, 39)});
    REQUIRE(page.unusable.size() == 1);
    CHECK(page.unusable[0].name == "i-1");
    CHECK(page.unusable[0].revision == 0);
    CHECK(page.unusable[0].reason == "revision");
    REQUIRE(page.orders.size() == 1);
    CHECK(page.orders[0].change.order.revision == 40);
    CHECK(page.newest_revision == 39);
}

// Pages with bytes of an entry changed, dropped or repeated: decoding doesn't throw, and each
// decoded upstream has an address, a service and slots.
TEST_CASE("randomly damaged pages of the store never yield an incomplete upstream",
          "[store_entries]")
{
    std::minstd_rand random{7};
    std::string const good = json::serialize(valid_entry());
    for (int round = 0; round < 2'000; ++round)
    {
        std::string value = good;
        std::size_t const at = random() % value.size();
        switch (random() % 3)
        {
        case 0:
            value[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            value.erase(at, 1 + random() % 8);
            break;
        default:
            value.insert(at, value.substr(random() % value.size(), 5));
            break;
        }
        for (state::service_member const& each : read_between_valid_entries(value).members)
        {
            CHECK_FALSE(each.service.empty());
            CHECK_FALSE(each.zone.empty());
            CHECK(each.address.port != 0);
            CHECK(each.slots > 0);
        }
    }
}
