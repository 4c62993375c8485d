#include <plumdale/coordination/call_quarantine.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point start{100s};
constexpr state::prompt_part first{1};
constexpr state::prompt_part bad{2};
constexpr state::prompt_part other{3};

using parts = std::vector<state::prompt_part>;

state::member_key upstream(std::uint64_t number)
{
    return {1'000 + number};
}

/// \brief Records that upstream `number` crashed under a request of its own, a second each.
state::time_point crash(prompt_quarantine& quarantine, parts const& of, std::uint64_t number)
{
    state::time_point const at = start + static_cast<std::int64_t>(number) * 1s;
    quarantine.upstream_crashed(of, state::request_digest{number}, upstream(number), false, at);
    return at;
}

bool refuses(prompt_quarantine& quarantine, parts const& of, state::time_point now = start + 30s)
{
    return quarantine.refuses(of, now);
}

} // namespace

TEST_CASE("a part is refused at the second crash of different requests", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad}, 1);
    CHECK_FALSE(refuses(quarantine, {bad}));
    crash(quarantine, {bad}, 2);
    CHECK(refuses(quarantine, {bad}));
    CHECK_FALSE(refuses(quarantine, {first, other}));
    CHECK(quarantine.refused_count() == 1);
}

// Guards against refusals of what ran at a rack that lost power: all of it ends at one time.
TEST_CASE("crashes at one time are one cause", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    for (std::uint64_t i = 1; i <= 5; ++i)
    {
        quarantine.upstream_crashed(parts{other}, state::request_digest{i}, upstream(i), false,
                                    start + static_cast<std::int64_t>(i) * 20ms);
    }
    CHECK_FALSE(refuses(quarantine, {other}));
}

// Guards against a part that is never refused, as its first requests crashed more upstreams at one
// time than are kept.
TEST_CASE("a crash after many at one time still counts", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    for (std::uint64_t i = 1; i <= 2 * prompt_quarantine::max_crashes; ++i)
    {
        quarantine.upstream_crashed(parts{bad}, state::request_digest{i}, upstream(i), false,
                                    start + static_cast<std::int64_t>(i) * 1ms);
    }
    CHECK_FALSE(refuses(quarantine, {bad}));
    crash(quarantine, {bad}, 50);
    CHECK(refuses(quarantine, {bad}));
}

// Guards against refusals of the parts of a request that ends its upstreams by itself.
TEST_CASE("crashes of one request are one cause", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    for (std::uint64_t i = 1; i <= 5; ++i)
    {
        quarantine.upstream_crashed(parts{other}, state::request_digest{7}, upstream(i), false,
                                    start + static_cast<std::int64_t>(i) * 1s);
    }
    CHECK_FALSE(refuses(quarantine, {other}));
}

// Guards against refusals of sound parts that many requests have, whatever crashes beside them.
TEST_CASE("a part that is answered is not suspected", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    quarantine.answered(parts{first}, start + 900ms);
    crash(quarantine, {first, bad}, 1);
    crash(quarantine, {first, bad}, 2);
    CHECK_FALSE(refuses(quarantine, {first}));
    CHECK(refuses(quarantine, {bad}));
}

// Guards against a wrong suspicion that lasts though the part is answered elsewhere.
TEST_CASE("an answer clears a part and is reported", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {other}, 1);
    state::time_point const now = crash(quarantine, {other}, 2);
    static_cast<void>(quarantine.unreported(now));
    CHECK(quarantine.answered(parts{other}, now));
    CHECK_FALSE(refuses(quarantine, {other}));
    auto const reported = quarantine.unreported(now);
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].part == other);
    CHECK_FALSE(reported[0].crashed);
}

// Guards against refusals of the parts of requests that ran beside two crashes of another part.
TEST_CASE("a part with more crashes accounts for those of the others", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        crash(quarantine, {bad}, i);
        if (i <= 2)
        {
            quarantine.upstream_crashed(parts{other}, state::request_digest{50 + i}, upstream(i),
                                        false, start + static_cast<std::int64_t>(i) * 1s);
        }
    }
    CHECK(refuses(quarantine, {bad}));
    CHECK_FALSE(refuses(quarantine, {other}));
}

// Guards against refusals of a part that crossed one crash of a refused part and one of its own.
TEST_CASE("a part that was refusable first accounts for those it shares with later ones",
          "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad}, 1);
    crash(quarantine, {bad}, 2);
    quarantine.upstream_crashed(parts{other}, state::request_digest{52}, upstream(2), false,
                                start + 2s);
    crash(quarantine, {other}, 3);
    CHECK(refuses(quarantine, {bad}));
    CHECK_FALSE(refuses(quarantine, {other}));
}

// Guards against evidence from requests that were on their way as the part was found.
TEST_CASE("a refused part accounts for the crashes of its requests", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    // More than are kept for the refused part, so that only the request itself shows the cause.
    for (std::uint64_t i = 1; i <= prompt_quarantine::max_crashes; ++i)
    {
        crash(quarantine, {bad}, i);
    }
    crash(quarantine, {bad, other}, 11);
    crash(quarantine, {bad, other}, 12);
    CHECK(refuses(quarantine, {bad}));
    CHECK_FALSE(refuses(quarantine, {other}));
}

TEST_CASE("several parts are found at once", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    constexpr state::prompt_part second_bad{9};
    for (std::uint64_t i = 1; i <= 4; i += 2)
    {
        crash(quarantine, {bad}, i);
        crash(quarantine, {second_bad}, i + 1);
    }
    CHECK(refuses(quarantine, {bad}));
    CHECK(refuses(quarantine, {second_bad}));
    CHECK(quarantine.refused_count() == 2);
}

// -- trials ---------------------------------------------------------------------------------------

// Guards against a wrong suspicion that never ends, as no request is sent that could be answered.
TEST_CASE("a refused part is tried again, by one request at a time", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {other}, 1);
    state::time_point const last = crash(quarantine, {other}, 2);
    CHECK_FALSE(quarantine.due_trial(parts{other}, last + 900ms));
    REQUIRE(quarantine.due_trial(parts{first, other}, last + 1s) == other);
    quarantine.begin_trial(other, prompt_quarantine::trial_time, last + 1s);
    CHECK_FALSE(quarantine.due_trial(parts{other}, last + 2s));
    CHECK(quarantine.due_trial(parts{other}, last + 1s + prompt_quarantine::trial_time) == other);
    quarantine.end_trial(other, last + 2s);
    CHECK(quarantine.due_trial(parts{other}, last + 2s) == other);
}

// Guards against trials that add up to more crashes than a part may cause.
TEST_CASE("a part that crashes each upstream that tries it is tried twice in all",
          "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad}, 1);
    state::time_point now = crash(quarantine, {bad}, 2);
    std::uint64_t trials = 0;
    for (state::time_point const end = now + 24h; now < end; now += 1s)
    {
        static_cast<void>(quarantine.refuses(parts{bad}, now));
        if (quarantine.due_trial(parts{bad}, now))
        {
            ++trials;
            quarantine.begin_trial(bad, prompt_quarantine::trial_time, now);
            quarantine.upstream_crashed(parts{bad}, state::request_digest{100 + trials},
                                        upstream(100 + trials), true, now + 500ms);
        }
        quarantine.forget(now);
    }
    CHECK(trials == prompt_quarantine::trial_delays.size());
    CHECK(refuses(quarantine, {bad}, now));
}

// Guards against a long wait for the trial of a part that many requests have: all those that were
// on their way as it was suspected crashed their upstreams too, for another part.
TEST_CASE("crashes of requests on their way put no trial off", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    state::time_point last{};
    for (std::uint64_t i = 1; i <= 2 * prompt_quarantine::max_crashes; ++i)
    {
        last = crash(quarantine, {first, bad}, i);
    }
    CHECK(quarantine.due_trial(parts{first}, last + 1s) == first);
    quarantine.upstream_crashed(parts{first}, state::request_digest{90}, upstream(90), true,
                                last + 1s);
    CHECK_FALSE(quarantine.due_trial(parts{first}, last + 10s));
    CHECK(quarantine.due_trial(parts{first}, last + 1s + 1min) == first);
}

TEST_CASE("a request with two refused parts tries neither", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad, other}, 1);
    state::time_point const now = crash(quarantine, {bad, other}, 2) + 2s;
    CHECK_FALSE(quarantine.due_trial(parts{bad, other}, now));
    CHECK(quarantine.due_trial(parts{other}, now) == other);
}

TEST_CASE("a part that no request has had for its lifetime is forgotten", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad}, 1);
    state::time_point const last = crash(quarantine, {bad}, 2);
    quarantine.forget(last + prompt_quarantine::lifetime);
    CHECK_FALSE(quarantine.is_refused(bad));
    CHECK(quarantine.digest() == 0);
}

TEST_CASE("all VMs choose the same one to try a part, and not always the same",
          "[prompt_quarantine]")
{
    std::vector<state::node_id> live{{5}, {6}, {7}, {8}};
    std::vector<state::node_id> reversed{live.rbegin(), live.rend()};
    std::vector<state::node_id> chosen;
    for (std::uint64_t part = 1; part <= 20; ++part)
    {
        chosen.push_back(choose_trial_vm({part}, live));
        CHECK(chosen.back() == choose_trial_vm({part}, reversed));
    }
    CHECK(std::count(chosen.begin(), chosen.end(), chosen.front()) < 20);
}

// -- peers ----------------------------------------------------------------------------------------

// Guards against VMs that refuse different parts after datagrams that came late, twice or not.
TEST_CASE("evidence in any order and number leads to the same decisions", "[prompt_quarantine]")
{
    std::mt19937_64 random{11};
    for (int round = 0; round < 200; ++round)
    {
        std::vector<part_evidence> all;
        for (std::uint64_t i = 1; i <= 5; ++i)
        {
            state::duration const age = static_cast<std::int64_t>(i) * 1s;
            all.push_back({bad, upstream(i), state::request_digest{i}, age, age, false});
            if (i % 2 == 0)
            {
                all.push_back({other, upstream(i), state::request_digest{50 + i}, age, age, false});
            }
        }
        std::array<prompt_quarantine, 2> vms;
        for (prompt_quarantine& vm : vms)
        {
            std::shuffle(all.begin(), all.end(), random);
            for (part_evidence const& each : all)
            {
                vm.apply_update(each, 0s, start);
                vm.apply_update(each, 0s, start);
            }
        }
        CHECK(vms[0].digest() == vms[1].digest());
        CHECK(vms[0].is_refused(bad));
        CHECK_FALSE(vms[0].is_refused(other));
    }
}

// Guards against a VM that knows a part to be sound and keeps it to itself.
TEST_CASE("a VM that had a part answered says so, unless a peer does first", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    quarantine.answered(parts{other}, start);
    part_evidence const crashed{other, upstream(1), state::request_digest{1}, 0s, 0s, false};
    CHECK_FALSE(quarantine.apply_update(crashed, 100ms, start + 1s));
    CHECK(quarantine.unreported(start + 1s).empty());
    SECTION("it does")
    {
        auto const reported = quarantine.unreported(start + 1s + 100ms);
        REQUIRE(reported.size() == 1);
        CHECK_FALSE(reported[0].crashed);
    }
    SECTION("a peer was first")
    {
        quarantine.apply_update({other, {}, {}, 0s, 0s, false}, 100ms, start + 1s);
        CHECK(quarantine.unreported(start + 2s).empty());
    }
}

TEST_CASE("a VM that starts receives what its peers refuse", "[prompt_quarantine]")
{
    prompt_quarantine known;
    crash(known, {bad}, 1);
    crash(known, {bad}, 2);
    crash(known, {first}, 3);
    prompt_quarantine started;
    for (part_evidence const& each : known.evidence(24, start + 20min))
    {
        started.apply_update(each, 0s, start + 20min);
    }
    CHECK_FALSE(started.is_refused(bad));
    CHECK(refuses(known, {bad}, start + 19min));
    for (part_evidence const& each : known.evidence(24, start + 20min))
    {
        started.apply_update(each, 0s, start + 20min);
    }
    CHECK(started.is_refused(bad));
    CHECK(started.digest() == known.digest());
    CHECK(known.evidence(1, start + 20min).empty());
}

// Guards against reports that fill the links when a zone loses power.
TEST_CASE("crashes are reported up to a rate and count beyond it", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        quarantine.upstream_crashed(parts{state::prompt_part{100 + i}},
                                    state::request_digest{i + 1}, upstream(1), false, start);
    }
    CHECK(quarantine.unreported(start).size() == prompt_quarantine::max_reports_per_second);
    CHECK(quarantine.crash_count(state::prompt_part{149}) == 1);
}

TEST_CASE("no more parts are kept than fit, and refused ones stay", "[prompt_quarantine]")
{
    prompt_quarantine quarantine;
    crash(quarantine, {bad}, 1);
    crash(quarantine, {bad}, 2);
    for (std::uint64_t i = 0; i < 2 * prompt_quarantine::capacity; ++i)
    {
        quarantine.upstream_crashed(parts{state::prompt_part{100 + i}},
                                    state::request_digest{i + 1}, upstream(3), false,
                                    start + 5s + static_cast<std::int64_t>(i) * 1ms);
    }
    CHECK(quarantine.is_refused(bad));
    CHECK(quarantine.crash_count(state::prompt_part{100}) == 0);
}

// Guards against a trial with a request that ends upstreams by itself.
TEST_CASE("a request that may end upstreams itself tries no part", "[prompt_quarantine]")
{
    call_quarantine quarantine;
    crash(quarantine.prompts, {other}, 1);
    state::time_point const now = crash(quarantine.prompts, {other}, 2) + 2s;
    quarantine.requests.upstream_ended(state::request_digest{78}, upstream(8), now);
    CHECK_FALSE(quarantine.due_trial({state::request_digest{78}, parts{other}}, now));
    CHECK(quarantine.due_trial({state::request_digest{79}, parts{other}}, now) == other);
}

// -- whole requests -------------------------------------------------------------------------------

// Guards against refusals of a sound request that ran beside two crashes of a part it hasn't.
TEST_CASE("a request beside the crashes of a refused part is sent on", "[prompt_quarantine]")
{
    call_quarantine quarantine;
    constexpr state::request_digest sound{77};
    for (std::uint64_t i = 1; i <= 2; ++i)
    {
        state::time_point const at = crash(quarantine.prompts, {bad}, i);
        quarantine.requests.upstream_ended(sound, upstream(i), at);
    }
    CHECK_FALSE(quarantine.refuses({sound, parts{first}}, start + 5s));
    CHECK(quarantine.refuses({sound, parts{first, bad}}, start + 5s));
    quarantine.requests.upstream_ended(state::request_digest{78}, upstream(8), start);
    quarantine.requests.upstream_ended(state::request_digest{78}, upstream(9), start);
    CHECK(quarantine.refuses({state::request_digest{78}, parts{first}}, start + 5s));
}
