#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace plumdale::system_tests;
namespace json = boost::json;

namespace
{

std::vector<std::pair<std::string, std::string>> operator_headers(char const* key = operator_key)
{
    return {{"Authorization", std::string{"Bearer "} + key}};
}

// Returns the preset that an entry VM reports as in force, or an empty text.
std::string in_force(fleet& deployment, std::size_t entry)
{
    answer const got = request(deployment.entry(entry).address, "GET", "/admin/status", "",
                               std::chrono::seconds{1}, operator_headers());
    if (got.status != 200)
    {
        return {};
    }
    return std::string{json::parse(got.body).at("in_force").at("preset").as_string()};
}

bool in_force_everywhere(fleet& deployment, std::string const& preset)
{
    for (std::size_t i = 0; i < deployment.entry_count(); ++i)
    {
        if (deployment.entry(i).program->running() && in_force(deployment, i) != preset)
        {
            return false;
        }
    }
    return true;
}

void publish_switch(fleet& deployment, std::string const& preset)
{
    control(deployment.platform(), {{"config", {{"switch", {{"preset", preset}}}}}});
}

answer operator_switch(fleet& deployment, std::size_t entry, std::string const& preset)
{
    return request(deployment.entry(entry).address, "POST", "/admin/preset",
                   json::serialize(json::object{{"preset", preset}}), default_timeout,
                   operator_headers());
}

} // namespace

// A switch published on the platform must come into force on every entry VM.
TEST_CASE("a published switch comes into force everywhere", "[system]")
{
    fleet deployment{fleet_shape{}};
    CHECK(eventually([&] { return in_force_everywhere(deployment, "ordinary"); }));
    publish_switch(deployment, "peak");
    CHECK(eventually([&] { return in_force_everywhere(deployment, "peak"); }));
}

// Operators listed only in the configuration must be able to read the status. When only the switch
// accepted their keys, they could change the preset but not see whether it was in force.
TEST_CASE("operators of the configuration read the status, strangers do not", "[system]")
{
    fleet deployment{fleet_shape{1, 1}};
    auto const status_with = [&](char const* key)
    {
        return request(deployment.entry(0).address, "GET", "/admin/status", "", default_timeout,
                       operator_headers(key))
            .status;
    };
    CHECK(status_with(operator_key) == 200);
    CHECK(status_with(second_operator_key) == 200);
    CHECK(status_with("a stranger's key") == 403);
}

// An operator switches the preset while the platform is down. One entry VM accepts the switch and
// the others receive it from there, while callers are served. The platform returns with its older
// switch, which must not replace the newer one on any entry VM.
TEST_CASE("a switch made while the platform is down is kept when it returns", "[system]")
{
    fleet deployment{fleet_shape{}};
    CHECK(eventually([&] { return in_force_everywhere(deployment, "ordinary"); }));
    control(deployment.platform(), {{"down", true}});
    answer const switched = operator_switch(deployment, 0, "peak");
    INFO(switched.body);
    CHECK(switched.status == 200);
    CHECK(eventually([&] { return in_force_everywhere(deployment, "peak"); }));
    running_caller question{deployment.caller({2}, "question", 10)};
    CHECK(describe_fault(question.finish(), 10) == no_fault);
    control(deployment.platform(), {{"down", false}});
    std::int64_t const calls = get(deployment.platform(), "/v1/record").at("calls").as_int64();
    CHECK(eventually(
        [&]
        { return get(deployment.platform(), "/v1/record").at("calls").as_int64() > calls + 10; }));
    CHECK(in_force_everywhere(deployment, "peak"));
}

// The platform serves stale values. An entry VM that starts now, without state, must not use the
// switch that it reads there: its peers hold a newer one.
TEST_CASE("a new entry VM uses the switch of its peers rather than of a stale platform", "[system]")
{
    fleet deployment{fleet_shape{}};
    CHECK(eventually([&] { return in_force_everywhere(deployment, "ordinary"); }));
    control(deployment.platform(), {{"stale", true}});
    CHECK(operator_switch(deployment, 1, "peak").status == 200);
    CHECK(eventually([&] { return in_force_everywhere(deployment, "peak"); }));
    std::size_t const added = deployment.add_entry();
    CHECK(in_force(deployment, added) == "peak");
}
