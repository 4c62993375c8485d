#include "starting_vm.hpp"
#include "store_items.hpp"
#include "transport/boot_clock.hpp"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace plumdale;
using namespace plumdale::test;
using namespace std::chrono_literals;
namespace json = boost::json;

// Another writer's entry whose name holds what has a meaning in a URL or in a message's head, in a
// list of several pages.

namespace
{

constexpr std::array<std::string_view, 17> odd_texts{
    "&",          "+",  "#",  "%",        " ",    "%2",   "%zz",      "?", "=",
    "&prefix=op", "#&", "\t", "\r\nX: y", "\x01", "\x7f", "\xc3\xa9", "\""};

/// \brief Undoes the escapes of a query's value; none if one of them is none.
std::optional<std::string> unescaped(std::string_view text)
{
    std::string plain;
    while (!text.empty())
    {
        std::size_t taken = 1;
        char byte = text.front() == '+' ? ' ' : text.front();
        if (text.front() == '%')
        {
            unsigned value = 0;
            std::string_view const digits = text.substr(1, 2);
            auto const read =
                std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
            if (digits.size() != 2 || read.ptr != digits.data() + 2)
            {
                return std::nullopt;
            }
            byte = static_cast<char>(value);
            taken = 3;
        }
        plain += byte;
        text.remove_prefix(taken);
    }
    return plain;
}

/// \brief The values of a request's query; none if its first line is not one of HTTP.
std::optional<std::map<std::string, std::string>> query_of(std::string_view request)
{
    std::string_view line = request.substr(0, request.find("\r\n"));
    constexpr std::string_view end = " HTTP/1.1";
    if (!line.starts_with("GET /") || !line.ends_with(end))
    {
        return std::nullopt;
    }
    line = line.substr(4, line.size() - 4 - end.size());
    bool const is_target = std::all_of(line.begin(), line.end(),
                                       [](char c) { return c > ' ' && c < '\x7f' && c != '#'; });
    if (!is_target)
    {
        return std::nullopt;
    }
    std::map<std::string, std::string> values;
    std::string_view query = line.substr(std::min(line.find('?') + 1, line.size()));
    while (!query.empty())
    {
        std::string_view const part = query.substr(0, query.find('&'));
        std::size_t const equals = std::min(part.find('='), part.size());
        auto value = unescaped(part.substr(std::min(equals + 1, part.size())));
        if (!value)
        {
            return std::nullopt;
        }
        values[std::string{part.substr(0, equals)}] = std::move(*value);
        query.remove_prefix(std::min(part.size() + 1, query.size()));
    }
    return values;
}

/// \brief A store that hands its entries out in pages, in the order of their keys.
class paged_store
{
public:
    explicit paged_store(starting_vm& vm)
    {
        vm.reply = [this](std::string_view request)
        {
            return answer(request);
        };
    }

    void put(std::string const& name, std::string const& value)
    {
        entries_["servers/" + name] = value;
    }

private:
    static constexpr std::size_t page_size = 3;

    std::string answer(std::string_view request) const
    {
        auto const query = query_of(request);
        if (!query)
        {
            return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
        }
        if (contains(request, "kv-watch"))
        {
            return ok_answer(R"({"events":[],"atRev":40})");
        }
        auto const prefix = query->find("prefix");
        if (prefix == query->end() || prefix->second != "servers/")
        {
            return operator_entries_page({}, 3);
        }
        auto const after = query->find("afterRev");
        return page_after(after == query->end() ? std::string{} : after->second);
    }

    [[nodiscard]] std::string page_after(std::string const& key) const
    {
        json::array items;
        auto each = entries_.upper_bound(key);
        for (; each != entries_.end() && items.size() < page_size; ++each)
        {
            items.push_back(json::object{
                {"key", each->first}, {"value", encode_base64(each->second)}, {"revision", 5}});
        }
        return ok_answer(json::serialize(
            json::object{{"items", items}, {"hasMore", each != entries_.end()}, {"atRev", 40}}));
    }

    std::map<std::string, std::string> entries_;
};

bool takes_work(starting_vm const& vm, std::string_view name)
{
    auto const key = vm.core.directory.latest(name);
    auto const* const entry = key ? vm.core.directory.find(*key) : nullptr;
    return entry != nullptr && vm.core.directory.may_take_work(*entry, transport::boot_now());
}

} // namespace

// Guards against a VM that never has the pages behind a name that was sent unescaped.
TEST_CASE("a VM reads all pages of a list behind an odd name", "[odd_names]")
{
    std::string const sound = json::serialize(valid_entry(0));
    for (std::string_view const odd : odd_texts)
    {
        std::string const name = "i-2" + std::string{odd};
        for (bool const is_seed : {false, true})
        {
            INFO("name " << json::serialize(json::string{name}) << ", seed " << is_seed);
            starting_vm vm{is_seed};
            paged_store store{vm};
            for (std::string const sound_name : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            {
                store.put(sound_name, sound);
            }
            store.put(name, "{}");
            for (int round = 0; round < 100 && vm.core.coverage != transport::list_coverage::whole;
                 ++round)
            {
                vm.run(5ms);
            }
            CHECK(vm.core.coverage == transport::list_coverage::whole);
            for (std::string_view const sound_name : {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"})
            {
                CHECK(takes_work(vm, sound_name));
            }
        }
    }
}

// Guards against calls to what another writer's entry names, and against heads that its name ends.
TEST_CASE("an entry with an odd name names no upstream, though its value is valid", "[odd_names]")
{
    std::string const sound = json::serialize(valid_entry(0));
    for (std::string_view const odd : odd_texts)
    {
        std::string const name = "i-2" + std::string{odd};
        INFO("name " << json::serialize(json::string{name}));
        json::array items;
        for (std::string const& each : {std::string{"i-1"}, name, std::string{"i-3"}})
        {
            items.push_back(json::object{
                {"key", "servers/" + each}, {"value", encode_base64(sound)}, {"revision", 5}});
        }
        auto const page = platform::platform_dialect{}.read_page(
            json::serialize(json::object{{"items", items}, {"hasMore", false}, {"atRev", 40}}));
        REQUIRE(page);
        REQUIRE(page.value().members.size() == 2);
        CHECK(page.value().members[0].name == "i-1");
        CHECK(page.value().members[1].name == "i-3");
        REQUIRE(page.value().unusable.size() == 1);
        CHECK(page.value().unusable[0].reason == "key");
    }
}

// Guards against upstreams that are no longer used for the form of their names.
TEST_CASE("names of letters, digits and marks that need no escape are used", "[odd_names]")
{
    for (std::string const name : {"i-7f3a91c2", "I.7_f~3", "10.0.0.9:80", "a"})
    {
        INFO(name);
        json::array const items{
            json::object{{"key", "servers/" + name},
                         {"value", encode_base64(json::serialize(valid_entry(0)))},
                         {"revision", 5}}};
        auto const page = platform::platform_dialect{}.read_page(
            json::serialize(json::object{{"items", items}, {"hasMore", false}, {"atRev", 40}}));
        REQUIRE(page);
        REQUIRE(page.value().members.size() == 1);
        CHECK(page.value().members[0].name == name);
    }
}

// Guards against a page that is asked for behind another key than the last one's.
TEST_CASE("the key that a page begins after is escaped whole", "[odd_names]")
{
    using protocol::read_consistency;
    platform::platform_dialect const dialect;
    for (std::string_view const odd : odd_texts)
    {
        std::string const key = "servers/i-2" + std::string{odd};
        for (read_consistency const how :
             {read_consistency::current, read_consistency::allow_stale})
        {
            for (std::string const& target :
                 {dialect.member_list_target(how, key), dialect.operator_entries_target(how, key)})
            {
                INFO(target);
                auto const query = query_of("GET " + target + " HTTP/1.1\r\n");
                REQUIRE(query);
                CHECK(query->at("afterRev") == key);
            }
        }
    }
}
