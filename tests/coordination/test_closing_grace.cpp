#include <plumdale/coordination/closing_grace.hpp>
#include <plumdale/coordination/send_record.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;
using state::call_kind;

namespace
{

constexpr state::time_point stop_began{100s};
constexpr state::duration grace_time = 8s;
/// \brief When the process ends, at the latest check before its grace is over.
constexpr state::time_point process_ends = stop_began + grace_time - 150ms;
constexpr state::duration moment_step = 100ms;
constexpr closing_grace grace{stop_began, grace_time};

constexpr std::array kinds{call_kind::idempotent, call_kind::non_idempotent, call_kind::streaming};
/// \brief Times of a caller or a route: shorter than the grace, nearly as long, and far longer.
constexpr std::array<state::duration, 6> times{200ms, 1'500ms, 4s, 7s, 12s, 39s};
constexpr std::array<state::duration, 4> usual_runs{0ms, 150ms, 1'800ms, 9s};

/// \brief Calls `check(call, now)` for each kind of call, and each moment from its reading on at
/// which it may be sent: at once, after it waited, at a second send or at a hand-over.
template <typename Check>
void walk_grace(Check const& check)
{
    for (call_kind const kind : kinds)
    {
        for (state::duration const time : times)
        {
            for (state::duration const usual_run : usual_runs)
            {
                for (state::time_point read_at = stop_began - 10s; read_at < process_ends;
                     read_at += moment_step)
                {
                    call_need const call{kind, read_at, read_at + time, usual_run};
                    state::time_point now = std::max(read_at, stop_began);
                    for (; now < std::min(call.deadline, process_ends); now += moment_step)
                    {
                        check(call, now);
                    }
                }
            }
        }
    }
}

} // namespace

TEST_CASE("a VM that isn't being stopped sends all calls", "[closing_grace]")
{
    closing_grace const none{state::never, grace_time};
    CHECK_FALSE(none.is_closing());
    CHECK(none.last_answer_at() == state::never);
    CHECK(none.may_send({call_kind::non_idempotent, stop_began, state::never, 39s}, process_ends));
}

// Guards against a call that may run once and is at work as the process ends.
TEST_CASE("no call that may run once is sent if it may outlast the process", "[closing_grace]")
{
    std::size_t late = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const may_outlast = call.deadline > process_ends - 150ms;
            late +=
                call.kind == call_kind::non_idempotent && may_outlast && grace.may_send(call, now)
                    ? 1
                    : 0;
        });
    CHECK(late == 0);
}

// Guards against refusals of calls that are answered before the end whatever becomes of them.
TEST_CASE("a call whose time ends before the process is always sent", "[closing_grace]")
{
    std::size_t refused = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const ends_before = call.deadline <= grace.last_answer_at();
            refused += ends_before && !grace.may_send(call, now) ? 1 : 0;
        });
    CHECK(refused == 0);
}

// Guards against cuts that nothing excuses: the call came when the balancer knew of the stop.
TEST_CASE("no call that was read late is sent if it may outlast the process", "[closing_grace]")
{
    std::size_t late = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const was_late = call.read_at > stop_began + 3s;
            bool const may_outlast = call.deadline > process_ends;
            late += was_late && may_outlast && grace.may_send(call, now) ? 1 : 0;
        });
    CHECK(late == 0);
}

// Guards against work that is begun though it usually ends after the process.
TEST_CASE("no call is sent whose answer usually comes after the end", "[closing_grace]")
{
    std::size_t late = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const ends_after = std::min(call.deadline, now + call.usual_run) > process_ends;
            late += ends_after && grace.may_send(call, now) ? 1 : 0;
        });
    CHECK(late == 0);
}

// Guards against refusals of what callers are served in time: calls that came early, may be
// repeated or are streams, and usually end before the process.
TEST_CASE("an early call that usually ends in time is sent unless it may run once",
          "[closing_grace]")
{
    std::size_t refused = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const is_early = call.read_at <= stop_began + 3s;
            bool const ends_before = now + call.usual_run <= grace.last_answer_at();
            bool const is_sent = call.kind != call_kind::non_idempotent && is_early &&
                                 ends_before && now < grace.last_answer_at();
            refused += is_sent && !grace.may_send(call, now) ? 1 : 0;
        });
    CHECK(refused == 0);
}

// Guards against a call that is sent again once it was held back: its caller has been told.
TEST_CASE("a call that may not be sent may not be sent later either", "[closing_grace]")
{
    std::size_t reversals = 0;
    walk_grace(
        [&](call_need const& call, state::time_point now)
        {
            bool const later = grace.may_send(call, now + moment_step);
            reversals += later && !grace.may_send(call, now) ? 1 : 0;
        });
    CHECK(reversals == 0);
}

// Guards against a promise to a caller whose call was written before the stop.
TEST_CASE("a call that is held back is told the truth about its sends", "[closing_grace]")
{
    send_record none;
    CHECK(none.refusal_as(state::error_kind::draining).kind() == state::error_kind::draining);
    send_record written;
    written.begin(state::member_key{1});
    written.note_written();
    CHECK(written.refusal_as(state::error_kind::draining).kind() ==
          state::error_kind::may_have_run);
    written.end(send_proof::refused);
    CHECK(written.refusal_as(state::error_kind::draining).kind() == state::error_kind::draining);
}

// Guards against a grace that is shorter than the time in which calls are taken.
TEST_CASE("a short grace is kept", "[closing_grace]")
{
    closing_grace const brief{stop_began, 1s};
    call_need const call{call_kind::idempotent, stop_began, stop_began + 39s, 100ms};
    CHECK(brief.may_send(call, stop_began + 600ms));
    CHECK_FALSE(brief.may_send(call, stop_began + 601ms));
    closing_grace const nothing{stop_began, 0s};
    CHECK_FALSE(nothing.may_send(call, stop_began));
}
