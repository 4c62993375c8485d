#include "forward_scene.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace plumdale;
using namespace plumdale::test;

namespace
{

constexpr std::string_view sized = "Plumdale-Token-Usage: 2800,900\r\n";
constexpr int attempts = 8;
/// \brief The fleet may lose so many upstreams to one request before all VMs refuse it.
constexpr std::size_t most_ended = 3;

bool is_refused(script_caller const& caller)
{
    return caller.received.starts_with("HTTP/1.1 503 ");
}

bool has_answer(script_caller const& caller)
{
    return caller.received.find("\r\n\r\n") != std::string::npos;
}

/// \brief Sends the same request again and again; each upstream that runs it ends.
/// \returns how many upstreams ended under it
std::size_t ended_by(forward_scene& scene, std::string_view path, std::string_view fields)
{
    std::set<script_upstream*> ended;
    for (int i = 0; i < attempts; ++i)
    {
        std::string const id = "id-" + std::to_string(i);
        auto const caller = scene.call(path, id, fields, "the same body");
        scene.run_until([&]
                        { return has_answer(*caller) || caller->ended || scene.sends(id) > 0; });
        for (auto const& upstream : scene.upstreams)
        {
            for (auto const& connection : upstream->connections_with(id))
            {
                connection->reset();
                ended.insert(upstream.get());
            }
        }
        scene.run_until([&] { return has_answer(*caller) || caller->ended; });
    }
    return ended.size();
}

} // namespace

// Guards against a request that ends each upstream that runs it: sent again under new ids, it ended
// one upstream after the other.
TEST_CASE("a stream that ends each upstream that runs it is refused before a fourth", "[ending]")
{
    forward_scene scene{6};
    CHECK(ended_by(scene, "/draft/1", sized) <= most_ended);
    auto const again = scene.call("/draft/1", "id-again", sized, "the same body");
    scene.run_until([&] { return has_answer(*again); });
    CHECK(is_refused(*again));
    CHECK(scene.sends("id-again") == 0);
}
