#include "forward_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view signature_field = "Plumdale-Response-Seal: seal\r\n";
constexpr std::string_view limit_fields = "Plumdale-Response-Seal: seal\r\nServer-Limit: 1\r\n";

/// \brief Answers all waiting calls; the first upstream states a limit, the second states none.
void answer_all(forward_fixture& fixture, std::string const& id)
{
    for (std::size_t i = 0; i < 2; ++i)
    {
        for (auto const& each : fixture.upstreams[i]->connections_with(id))
        {
            each->send(answer_text(200, id, "yes", i == 0 ? limit_fields : signature_field));
        }
    }
}

} // namespace

// Guards against an upstream that gets as many requests as without its limit: of the requests for
// four seconds, those for two arrived within one.
TEST_CASE("an upstream that states a limit gets no more than that", "[limits]")
{
    forward_fixture fixture;
    constexpr int calls = 60;
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i)
    {
        std::string const id = "id-" + std::to_string(100 + i);
        auto const caller = fixture.call("/event/" + id, id, {}, {});
        fixture.run_until([&] { return fixture.request_count(id) > 0; });
        answer_all(fixture, id);
        fixture.run_until([&] { return caller->received.ends_with("yes"); });
    }
    // Calls sent before the limit was stated, one at once, and one for each second of the test.
    std::chrono::duration<double> const took = std::chrono::steady_clock::now() - began;
    CHECK(static_cast<double>(fixture.upstreams[0]->call_count()) <= 3.0 + took.count());
    CHECK(fixture.upstreams[0]->call_count() + fixture.upstreams[1]->call_count() == calls);
}
