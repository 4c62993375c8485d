#include <plumdale/coordination/generation_lifecycle.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <initializer_list>
#include <vector>

using namespace plumdale::coordination;

namespace
{

using enum lifecycle_state;
using enum lifecycle_event;

struct path
{
    std::vector<lifecycle_event> events;
    lifecycle_state end;
};

constexpr std::array all_events{run, read, dispatch, token, lost, not_run, restart, finish, fail};

/// \brief Counts the events that a generation allows after the events of `to`.
int allowed_after(std::initializer_list<lifecycle_event> to)
{
    int allowed = 0;
    for (lifecycle_event const each : all_events)
    {
        generation_lifecycle lifecycle;
        for (lifecycle_event const step : to)
        {
            REQUIRE(lifecycle.apply(step));
        }
        allowed += lifecycle.apply(each) ? 1 : 0;
    }
    return allowed;
}

TEST_CASE("a generation follows the transition table", "[generation_lifecycle]")
{
    std::vector<path> const paths{
        {{}, reserved},
        {{run}, waiting},
        {{read}, resuming},
        {{run, dispatch}, starting},
        {{run, dispatch, not_run}, waiting},
        {{run, dispatch, token}, streaming},
        {{run, dispatch, token, lost, lost, token, finish}, finished},
        {{run, dispatch, lost, restart, dispatch, finish}, finished},
        {{run, fail}, failed},
    };
    for (path const& each : paths)
    {
        generation_lifecycle lifecycle;
        for (lifecycle_event const event : each.events)
        {
            CHECK(lifecycle.apply(event));
        }
        CHECK(lifecycle.state() == each.end);
    }
}

TEST_CASE("events outside the transition table are rejected and keep the state",
          "[generation_lifecycle]")
{
    CHECK(allowed_after({}) == 3);
    CHECK(allowed_after({run}) == 2);
    CHECK(allowed_after({run, dispatch}) == 6);
    CHECK(allowed_after({run, dispatch, token}) == 5);
    CHECK(allowed_after({read}) == 5);
    CHECK(allowed_after({run, dispatch, finish}) == 0);
    CHECK(allowed_after({run, fail}) == 0);

    generation_lifecycle lifecycle;
    CHECK_FALSE(lifecycle.apply(dispatch));
    CHECK(lifecycle.state() == reserved);
}

} // namespace
