#include "coordination/fleet_values.hpp"

#include <plumdale/coordination/order_planner.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

constexpr std::uint64_t engine_count = 8;

[[nodiscard]] state::preset with_roles(std::string const& name)
{
    state::preset preset;
    preset.name = name;
    preset.assignments = {{{1}, state::engine_role::drafts, 50, name + " v1", ""},
                          {{1}, state::engine_role::questions, 50, name + " v2", ""}};
    return preset;
}

void publish_roles(fleet_loop& loop, bool fences)
{
    publish_base_configuration(loop);
    for (std::uint64_t i = 1; i <= engine_count; ++i)
    {
        state::upstream engine;
        engine.id = {i};
        engine.zone = {i % 3 + 1};
        engine.model = {1};
        engine.fences_orders = fences;
        loop.platform.list.upstreams.push_back(engine);
    }
    std::uint64_t revision = 10;
    for (std::string const name : {"ordinary", "peak"})
    {
        ++revision;
        loop.publish(revision,
                     preset_published{revision, with_roles(name),
                                      std::make_shared<std::string const>("roles " + name)});
    }
}

[[nodiscard]] bool all_follow(fleet_loop& loop, std::string const& name)
{
    std::size_t drafts = 0;
    for (std::uint64_t i = 1; i <= engine_count; ++i)
    {
        state::engine_order const& order = loop.engines[{i}];
        if (order.version != name + " v1" && order.version != name + " v2")
        {
            return false;
        }
        drafts += order.role == state::engine_role::drafts ? 1 : 0;
    }
    return drafts == engine_count / 2;
}

} // namespace

TEST_CASE("the plan depends on stamp and engines alone", "[order_planner]")
{
    std::vector<upstream_view> views;
    for (std::uint64_t i = 1; i <= 10; ++i)
    {
        upstream_view view;
        view.info.id = {i};
        view.info.model = {1};
        views.push_back(view);
    }
    state::preset_stamp const stamp{7, 0, 0, {1}};
    auto const plan = plan_orders(stamp, with_roles("peak"), views);
    std::reverse(views.begin(), views.end());
    auto const again = plan_orders(stamp, with_roles("peak"), views);
    REQUIRE(plan.size() == 10);
    for (std::size_t i = 0; i < plan.size(); ++i)
    {
        CHECK(plan[i].upstream == again[i].upstream);
        CHECK(plan[i].order == again[i].order);
        CHECK(plan[i].load_rank == i);
    }
}

TEST_CASE("a later stamp has a greater fencing number", "[order_planner]")
{
    state::preset_stamp const published{7, 0, 0, {1}};
    state::preset_stamp const switched{7, 1, std::uint64_t{3} << 56U, {1}};
    state::preset_stamp const later{8, 0, 0, {1}};
    CHECK(fence_of(published) < fence_of(switched));
    CHECK(fence_of(switched) < fence_of(later));
}

TEST_CASE("a switch changes the engines' orders, a few loads at a time", "[order_planner]")
{
    for (bool const fences : {true, false})
    {
        node_settings settings;
        settings.weight_load_time = 5s;
        settings.order_interval = 2s;
        fleet_loop loop{9, 3, 1, settings};
        publish_roles(loop, fences);
        loop.run_for(60s);
        CHECK(all_follow(loop, "ordinary"));
        loop.orders.clear();
        loop.publish(20, switch_published{20, preset_named("peak")});
        loop.run_for(4s);
        CHECK(loop.orders.size() <= settings.weight_loads_at_once);
        loop.run_for(60s);
        CHECK(all_follow(loop, "peak"));
        CHECK(loop.orders.size() == engine_count);
    }
}

// Guards against an order from before a pause: a node reads an engine, is paused during a switch,
// and then receives the old answer. If the engine ignores fencing numbers, acting on that answer
// would return it to the old preset and the wrong model version. Reads sent before the pause are
// dropped, and the node reads again once it has caught up.
TEST_CASE("a node that was paused sends no order from before the pause", "[order_planner]")
{
    auto const orders_given = [](safeguard_set safeguards)
    {
        node_settings settings;
        settings.safeguards = safeguards;
        settings.self = {{1}, {1}, {1}, 0, {}, {}, {}};
        state::member_table members;
        order_planner planner{settings, settings.self, members};
        fleet_snapshot fleet;
        fleet.ready = true;
        fleet.in_force = {7, 0, 0, {1}};
        fleet.preset = with_roles("ordinary");
        upstream_view view;
        view.info.id = {1};
        view.info.model = {1};
        view.info.fences_orders = false;
        fleet.upstreams = {view};
        control_actions actions;
        planner.plan(fleet, start_time);
        planner.advance(start_time, actions);
        planner.resume_after_pause();
        actions.clear();
        planner.handle(order_read{{1}, {9, state::engine_role::mixed, "newer", ""}},
                       start_time + 20s, actions);
        return actions.size();
    };
    CHECK(orders_given({}) == 0);
    CHECK(orders_given(safeguard_set{}.without(safeguard::pause_recheck)) == 1);
}

// Guards against an order without a fencing number: an engine that checks such numbers and follows
// a later switch than this node knows couldn't tell the old order from a new one.
TEST_CASE("an order carries the fencing number of its stamp", "[order_planner]")
{
    auto const fence_sent = [](safeguard_set safeguards)
    {
        node_settings settings;
        settings.safeguards = safeguards;
        settings.self = {{1}, {1}, {1}, 0, {}, {}, {}};
        state::member_table members;
        order_planner planner{settings, settings.self, members};
        fleet_snapshot fleet;
        fleet.ready = true;
        fleet.in_force = {7, 0, 0, {1}};
        fleet.preset = with_roles("ordinary");
        upstream_view view;
        view.info.id = {1};
        view.info.model = {1};
        fleet.upstreams = {view};
        control_actions actions;
        planner.plan(fleet, start_time);
        planner.advance(start_time, actions);
        actions.clear();
        planner.handle(order_read{{1}, {}}, start_time, actions);
        REQUIRE(actions.size() == 1);
        return std::get<send_order>(actions[0]).order.fence;
    };
    CHECK(fence_sent({}) == fence_of({7, 0, 0, {1}}));
    CHECK(fence_sent(safeguard_set{}.without(safeguard::order_fence)) == 0);
}
