#include <plumdale/coordination/connection_admission.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point start{100s};
constexpr connection_capacity capacity{4'000, 1.25e6};

connection_admission idle_admission()
{
    connection_admission admission{capacity};
    admission.queue_empty(start);
    admission.begin_turn(start);
    return admission;
}

} // namespace

TEST_CASE("a VM with little in hand takes each connection", "[connection_admission]")
{
    connection_admission const admission = idle_admission();
    CHECK(admission.decide({}, start) == connection_refusal::none);
    CHECK(admission.decide({1'000, 20, 900, 0, 8, false, 100ms}, start + 50ms) ==
          connection_refusal::none);
    CHECK(admission.batch() == connection_admission::max_batch);
}

// Guards against connections that use up what calls need for upstreams, peers and the store.
TEST_CASE("connections and calls leave descriptors to the rest", "[connection_admission]")
{
    connection_admission const admission = idle_admission();
    CHECK(admission.decide({1'500, 0, 1'499, 0, 0, false, {}}, start) == connection_refusal::none);
    CHECK(admission.decide({1'500, 0, 1'500, 0, 0, false, {}}, start) ==
          connection_refusal::descriptors);
    connection_admission unknown{{}};
    unknown.queue_empty(start);
    CHECK(unknown.decide({100'000, 0, 0, 0, 0, false, {}}, start) == connection_refusal::none);
}

// Guards against callers that wait in the queue until they give up.
TEST_CASE("a queue that stands is emptied, and then connections are taken again",
          "[connection_admission]")
{
    connection_admission admission = idle_admission();
    state::time_point const late = start + connection_admission::max_queue_time + 1ms;
    CHECK(admission.decide({}, late) == connection_refusal::queue);
    admission.queue_empty(late);
    CHECK(admission.decide({}, late) == connection_refusal::none);
}

// Guards against new connections that keep kept ones and heartbeats from the processor.
TEST_CASE("a VM whose loop is late takes no connection", "[connection_admission]")
{
    connection_admission const admission = idle_admission();
    CHECK(admission.decide({10, 0, 5, 0, 0, false, 251ms}, start) == connection_refusal::lag);
}

// Guards against a link full of calls that arrive so slowly that all of them are late.
TEST_CASE("few calls arrive at a time", "[connection_admission]")
{
    connection_admission const admission = idle_admission();
    CHECK(admission.decide({100, 63, 0, 0, 0, false, {}}, start) == connection_refusal::none);
    CHECK(admission.decide({100, 64, 0, 0, 0, false, {}}, start) == connection_refusal::reading);
}

// Guards against heartbeats and answers that queue behind calls on a small link.
TEST_CASE("calls leave a share of the link free", "[connection_admission]")
{
    connection_admission admission = idle_admission();
    for (state::time_point now = start; now < start + 1s; now += 10ms)
    {
        admission.queue_empty(now);
        admission.note_sent(8'000, now);
    }
    CHECK(admission.decide({}, start + 1s) == connection_refusal::none);
    for (state::time_point now = start + 1s; now < start + 2s; now += 10ms)
    {
        admission.queue_empty(now);
        admission.note_sent(12'000, now);
    }
    CHECK(admission.decide({}, start + 2s) == connection_refusal::link);
    admission.queue_empty(start + 2s + 500ms);
    CHECK(admission.decide({}, start + 2s + 500ms) == connection_refusal::none);
}

// Guards against peers that are overrun by what a VM without a path reads.
TEST_CASE("a VM without a path reads what its peers can send for it", "[connection_admission]")
{
    connection_admission const admission = idle_admission();
    CHECK(admission.decide({100, 0, 0, 63, 5, true, {}}, start) == connection_refusal::none);
    CHECK(admission.decide({100, 0, 0, 64, 5, true, {}}, start) == connection_refusal::peers);
    CHECK(admission.decide({100, 0, 0, 64, 5, false, {}}, start) == connection_refusal::none);
    CHECK(admission.decide({100, 0, 0, 511, 583, true, {}}, start) == connection_refusal::none);
    CHECK(admission.decide({100, 0, 0, 512, 583, true, {}}, start) == connection_refusal::peers);
}

// Guards against batches of connections whose calls make each round of the loop long.
TEST_CASE("fewer connections are accepted at a time while rounds are long",
          "[connection_admission]")
{
    connection_admission admission = idle_admission();
    state::time_point now = start;
    for (int i = 0; i < 6; ++i)
    {
        now += 2 * connection_admission::target_turn_time;
        admission.begin_turn(now);
    }
    CHECK(admission.batch() == 1);
    admission.queue_empty(now);
    admission.begin_turn(now + 10s);
    CHECK(admission.batch() == 2);
}
