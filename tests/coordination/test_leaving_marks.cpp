#include "coordination/fleet_values.hpp"

#include <plumdale/coordination/leaving_marks.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::testing;

namespace
{

[[nodiscard]] state::upstream engine(std::uint64_t id, std::uint64_t incarnation_number)
{
    state::upstream upstream;
    upstream.id = {id};
    upstream.incarnation_number = {incarnation_number};
    upstream.zone = {1};
    upstream.model = {1};
    return upstream;
}

[[nodiscard]] bool accepts(fleet_loop const& loop, std::size_t node, std::uint64_t upstream)
{
    auto const fleet = loop.fleet(node);
    auto const* const view = fleet->find_upstream({upstream});
    return view != nullptr && view->accepting;
}

[[nodiscard]] bool none_accepts(fleet_loop& loop, std::uint64_t upstream)
{
    for (std::size_t i = 0; i < loop.nodes().size(); ++i)
    {
        if (loop.alive(i) && accepts(loop, i, upstream))
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("marks only grow within an incarnation", "[leaving_marks]")
{
    leaving_marks marks;
    CHECK(marks.add({{1}, {5}}, 9));
    CHECK_FALSE(marks.add({{1}, {4}}, 9));
    CHECK(marks.is_leaving({1}, {5}));
    CHECK(marks.is_leaving({1}, {4}));
    CHECK_FALSE(marks.is_leaving({1}, {6}));
    marks.prune({1}, {5});
    CHECK(marks.is_leaving({1}, {5}));
    marks.prune({1}, {6});
    CHECK_FALSE(marks.is_leaving({1}, {5}));
    CHECK(marks.digest() == leaving_marks{}.digest());
}

TEST_CASE("marks beyond the capacity evict those of the oldest incarnations", "[leaving_marks]")
{
    leaving_marks marks;
    for (std::uint64_t i = 1; i <= leaving_marks::capacity + 1; ++i)
    {
        marks.add({{i}, {i}}, 9);
    }
    CHECK_FALSE(marks.is_leaving({1}, {1}));
    CHECK(marks.is_leaving({2}, {2}));
}

// Guards against lost work on an engine that is reclaimed: one entry VM learns of it from the
// engine, but the platform's list shows the engine as healthy for another 30 s. The mark spreads
// between entry VMs, and no later list revokes it.
TEST_CASE("an upstream that leaves gets no new work while the list lags", "[leaving_marks]")
{
    auto const stops = [](node_settings const& settings)
    {
        fleet_loop loop{9, 3, 1, settings};
        loop.platform.list.upstreams = {engine(1, 5), engine(2, 5)};
        publish_base_configuration(loop);
        loop.run_for(8s);
        REQUIRE(accepts(loop, 0, 1));
        loop.send(4, upstream_leaving{{1}, {5}});
        loop.run_for(2s);
        bool ok = none_accepts(loop, 1) && accepts(loop, 0, 2);
        for (int i = 0; i < 300; ++i)
        {
            loop.run_for(100ms);
            ok = ok && none_accepts(loop, 1);
        }
        return ok;
    };
    CHECK(stops({}));
    node_settings off;
    off.safeguards = off.safeguards.without(safeguard::leaving_mark);
    CHECK_FALSE(stops(off));
}

// Guards against a mark that never reaches a zone that was partitioned while the engine left:
// gossip of the mark ended long before the partition heals, so it has to be sent because digests
// differ.
TEST_CASE("a mark reaches a zone that was cut off", "[leaving_marks]")
{
    fleet_loop loop{9, 3, 2};
    loop.platform.list.upstreams = {engine(1, 5)};
    publish_base_configuration(loop);
    loop.run_for(8s);
    loop.connected = [](std::size_t a, std::size_t b)
    {
        return (a == 0) == (b == 0);
    };
    loop.platform.disconnected_zones = {0};
    loop.run_for(30s);
    loop.send(1, upstream_leaving{{1}, {5}});
    loop.send(0, upstream_leaving{{2}, {5}});
    loop.run_for(2s);
    CHECK(accepts(loop, 0, 1));
    CHECK_FALSE(accepts(loop, 1, 1));
    CHECK_FALSE(accepts(loop, 8, 1));
    loop.run_for(120s);
    loop.connected = [](std::size_t, std::size_t)
    {
        return true;
    };
    CHECK(loop.run_until(loop.now() + 20s, [&] { return none_accepts(loop, 1); }));
}

TEST_CASE("an engine's own report marks it at every node", "[leaving_marks]")
{
    fleet_loop loop{9, 3, 4};
    loop.platform.list.upstreams = {engine(1, 5)};
    publish_base_configuration(loop);
    loop.run_for(8s);
    state::load_report report;
    report.upstream = {1};
    report.incarnation_number = {5};
    report.sequence = 1;
    report.leaving = true;
    loop.send(2, load_reported{report});
    loop.run_for(2s);
    CHECK(none_accepts(loop, 1));
}

TEST_CASE("a later incarnation of the upstream gets work again", "[leaving_marks]")
{
    fleet_loop loop{9, 3, 3};
    loop.platform.list.upstreams = {engine(1, 5)};
    publish_base_configuration(loop);
    loop.run_for(8s);
    loop.send(4, upstream_leaving{{1}, {5}});
    loop.run_for(2s);
    loop.platform.list.upstreams = {engine(1, 6)};
    loop.run_for(4s);
    for (std::size_t i = 0; i < 9; ++i)
    {
        CHECK(accepts(loop, i, 1));
    }
}
