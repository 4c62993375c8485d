#include "coordination/fleet_values.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

constexpr std::size_t node_count = 9;

/// \brief A fleet whose operator switched to `peak` while the service was down.
[[nodiscard]] std::unique_ptr<fleet_loop> switched_fleet()
{
    auto loop = std::make_unique<fleet_loop>(node_count, 3, 1);
    publish_base_configuration(*loop);
    loop->run_for(10s);
    loop->platform.down = true;
    loop->run_for(6s);
    loop->send(4, operator_switch{{1}, operator_key(1), preset_named("peak"), 0});
    loop->run_for(3s);
    return loop;
}

[[nodiscard]] std::size_t ready_with(fleet_loop const& loop, std::string const& preset)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < node_count; ++i)
    {
        auto const fleet = loop.fleet(i);
        count += fleet->ready && fleet->in_force.preset == preset_named(preset) ? 1 : 0;
    }
    return count;
}

void replace(fleet_loop& loop, std::size_t first, std::size_t count)
{
    for (std::size_t i = first; i < first + count; ++i)
    {
        loop.stop(i);
        loop.start(i);
    }
}

} // namespace

TEST_CASE("a switch survives the replacement of all VMs one by one", "[preset_recovery]")
{
    auto loop = switched_fleet();
    for (std::size_t i = 0; i < node_count; ++i)
    {
        replace(*loop, i, 1);
        loop->run_for(10s);
    }
    CHECK(ready_with(*loop, "peak") == node_count);
}

TEST_CASE("a switch survives the replacement of half of the VMs at once", "[preset_recovery]")
{
    auto loop = switched_fleet();
    replace(*loop, 0, node_count / 2);
    loop->run_for(10s);
    CHECK(ready_with(*loop, "peak") == node_count);
}

// Guards against VMs that serve without a known preset: no VM has the operator's switch or any
// content, and the service is down. They refuse as not ready, and serve what is published once it
// can be read.
TEST_CASE("after all VMs were replaced at once no VM serves before the service is back",
          "[preset_recovery]")
{
    auto loop = switched_fleet();
    replace(*loop, 0, node_count);
    loop->run_for(30s);
    CHECK(ready_with(*loop, "peak") == 0);
    CHECK(ready_with(*loop, "ordinary") == 0);
    loop->platform.down = false;
    loop->run_for(10s);
    CHECK(ready_with(*loop, "ordinary") == node_count);
}
