#include <plumdale/coordination/cut_cause.hpp>
#include <plumdale/coordination/held_memory.hpp>

#include <catch2/catch.hpp>

#include <set>
#include <string_view>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key first{1};
constexpr state::member_key second{2};
constexpr state::time_point start{100s};

bool any(state::member_key /*at*/)
{
    return true;
}

} // namespace

// Guards against memory that is held and never asked for.
TEST_CASE("places are asked in turn, the newest first and the backup last", "[held_memory]")
{
    held_memory memory{5s};
    memory.add_backup(second);
    memory.add({first, second, "h"}, start);
    REQUIRE(memory.next(any) != nullptr);
    CHECK(memory.next(any)->at == first);
    memory.pass_turn();
    CHECK_FALSE(memory.is_round_over());
    CHECK(memory.next(any)->at == second);
    memory.pass_turn();
    CHECK(memory.is_round_over());
    memory.forget(first);
    CHECK(memory.next(any)->at == second);
    CHECK(memory.next([](state::member_key) { return false; }) == nullptr);
}

// Guards against a lifetime that runs while the generation does, or never.
TEST_CASE("memory expires twice its lifetime after its run has ended", "[held_memory]")
{
    held_memory memory{5s};
    memory.add({first, second, "h"}, start);
    CHECK_FALSE(memory.has_expired(start + 1h));
    memory.run_ended(start + 1h);
    CHECK_FALSE(memory.has_expired(start + 1h + 9s));
    CHECK(memory.has_expired(start + 1h + 10s));
}

// Guards against two causes that look alike in the log.
TEST_CASE("each cause of a cut has a word of its own", "[cut_cause]")
{
    std::set<std::string_view> words;
    for (std::size_t i = 0; i < static_cast<std::size_t>(cut_cause::count); ++i)
    {
        words.insert(to_text(static_cast<cut_cause>(i)));
    }
    CHECK(words.size() == static_cast<std::size_t>(cut_cause::count));
    CHECK_FALSE(words.contains(""));
}
