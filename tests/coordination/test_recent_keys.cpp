#include <plumdale/coordination/recent_keys.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

key_entry const entry{{{1}, {1}, 1, {}}, 42};

} // namespace

TEST_CASE("keys that expire after the window do not move complete_since", "[recent_keys]")
{
    state::time_point const start{1h};
    recent_keys keys{10min, 100, start};
    keys.remember({1}, entry, start);
    keys.remember({2}, entry, start + 10min);
    REQUIRE(keys.find({1}) != nullptr);
    CHECK(keys.find({1})->content_digest == 42);
    keys.remember({3}, entry, start + 11min);
    CHECK(keys.find({1}) == nullptr);
    CHECK(keys.find({2}) != nullptr);
    CHECK(keys.complete_since() == start);
}

// A caller repeats a key that was evicted by many others before its window had passed, so the
// repeat finds no entry. Since `complete_since` has moved up to that key's time, the home VM
// refuses the repeat as in doubt instead of running it a second time.
TEST_CASE("a key that is evicted early moves complete_since", "[recent_keys]")
{
    state::time_point const start{1h};
    recent_keys keys{10min, 2, start};
    keys.remember({1}, entry, start + 1s);
    keys.remember({2}, entry, start + 2s);
    keys.remember({1}, entry, start + 3s);
    CHECK(keys.complete_since() == start);
    keys.remember({3}, entry, start + 4s);
    CHECK(keys.size() == 2);
    CHECK(keys.find({2}) == nullptr);
    CHECK(keys.find({1}) != nullptr);
    CHECK(keys.complete_since() == start + 2s);
    keys.mark_incomplete_until(start + 9s);
    CHECK(keys.complete_since() == start + 9s);
    keys.clear_generation({1});
    CHECK_FALSE(keys.find({1})->generation);
}
