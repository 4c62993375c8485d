#include "mutation.hpp"

#include <plumdale/protocol/settings.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace plumdale;
using namespace plumdale::protocol;

namespace
{

std::string settings_with(std::string_view more)
{
    return R"({"zone":"heredia-a","callers":"127.0.0.1:0","datagrams":"127.0.0.1:7001","streams":"127.0.0.1:7002",)"
           R"("platform":"127.0.0.1:7000","fleet_key":"sixteen letters!")" +
           std::string{more} + "}";
}

std::vector<settings_error> errors_of(std::string_view text)
{
    std::vector<settings_error> errors;
    static_cast<void>(decode_settings(text, errors));
    return errors;
}

bool has_error_at(std::vector<settings_error> const& errors, std::string_view pointer)
{
    return std::any_of(errors.begin(), errors.end(),
                       [pointer](settings_error const& error) { return error.pointer == pointer; });
}

} // namespace

TEST_CASE("a file with few optional keys is valid", "[settings]")
{
    std::vector<settings_error> errors;
    daemon_settings const settings = decode_settings(settings_with(R"(,"threads":3)"), errors);
    CHECK(errors.empty());
    CHECK(settings.node.shards == 3);
    CHECK(settings.node.self.zone == state::id_from_name<state::zone_id>("heredia-a"));
    CHECK(settings.node.self.datagrams.port == 7001);
}

TEST_CASE("every error of a file is reported with its JSON pointer", "[settings]")
{
    auto const errors = errors_of(R"({"zone":5,"callers":"localhost:1","threads":0,)"
                                  R"("platform":"127.0.0.1:99999","fleet_key":"short"})");
    for (std::string_view const pointer :
         {"/zone", "/callers", "/threads", "/platform", "/fleet_key", "/datagrams", "/streams"})
    {
        CAPTURE(pointer);
        CHECK(has_error_at(errors, pointer));
    }
}

TEST_CASE("an unknown key is an error that names the nearest known one", "[settings]")
{
    auto const errors = errors_of(settings_with(R"(,"body_limt":4096)"));
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].pointer == "/body_limt");
    CHECK(errors[0].allowed.find("body_limit") != std::string::npos);
}

TEST_CASE("a file that is not an object gives one error", "[settings]")
{
    for (std::string_view const text : {"", "{", "[]", "7"})
    {
        CHECK(errors_of(text).size() == 1);
    }
}

TEST_CASE("damaged settings give errors or settings", "[settings][fuzz]")
{
    std::string const valid = settings_with(R"(,"seeds":["127.0.0.1:1"],"log_level":"debug")");
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        CAPTURE(seed);
        std::vector<settings_error> errors;
        daemon_settings const settings = decode_settings(test::mutate(valid, seed), errors);
        CHECK((!errors.empty() || settings.node.fleet_key.size() >= 16));
    }
}
