#include "fleet.hpp"
#include "web.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace plumdale::system_tests;
namespace json = boost::json;

namespace
{

answer call(fleet& deployment, bool repeatable)
{
    return request(deployment.entry(0).address, "POST", "/v1/services/grocers/v1/milk",
                   R"({"q":1})", default_timeout,
                   {{"Authorization", std::string{"Bearer "} + customer_key},
                    {"Plumdale-Repeatable", repeatable ? "true" : "false"}});
}

std::string claim_of(answer const& got)
{
    json::value const body = json::parse(got.body);
    return std::string{body.at("error").at("claim").as_string()};
}

std::size_t calls(fleet& deployment)
{
    return get(deployment.service(), "/v1/record").at("calls").as_array().size();
}

} // namespace

// The caller must receive the service's answer, and the service must run the call once.
TEST_CASE("a call to a plain service is passed through", "[system]")
{
    fleet deployment{fleet_shape{}};
    answer const got = call(deployment, false);
    CHECK(got.status == 200);
    CHECK(got.body.find("\"ran\":1") != std::string::npos);
    CHECK(calls(deployment) == 1);
}

// The service runs the call, and the connection breaks before its answer. The call may have run, so
// it must be reported as such and not be sent again, or it would be billed twice.
TEST_CASE("a call that may have run is not sent again", "[system]")
{
    fleet deployment{fleet_shape{}};
    control(deployment.service(), {{"cut_after_run", true}});
    answer const got = call(deployment, false);
    CHECK(got.status == 502);
    CHECK(claim_of(got) == "may_have_run");
    CHECK(calls(deployment) == 1);
}

// The service reports that it did not run the call. The caller must receive the claim "not_run",
// and the service's record must show no call.
TEST_CASE("a call that a service refused is reported as not run", "[system]")
{
    fleet deployment{fleet_shape{}};
    control(deployment.service(), {{"refuse", true}});
    answer const got = call(deployment, false);
    CHECK(got.status >= 400);
    CHECK(claim_of(got) == "not_run");
    CHECK(calls(deployment) == 0);
}
