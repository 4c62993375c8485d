#include <plumdale/coordination/send_record.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <type_traits>

using namespace plumdale;
using namespace plumdale::coordination;
using state::error_kind;

namespace
{

constexpr state::member_key first{1};
constexpr state::member_key second{2};
constexpr std::array<std::uint16_t, 4> promising_statuses{408, 421, 429, 503};

bool is_promise(refusal const& answer)
{
    return std::find(promising_statuses.begin(), promising_statuses.end(),
                     state::answer_for(answer.kind()).status) != promising_statuses.end();
}

send_record sent_to(state::member_key receiver, send_proof proof)
{
    send_record sends;
    sends.begin(receiver);
    sends.note_written();
    sends.end(proof);
    return sends;
}

} // namespace

// Guards against a way to write a promise that asks for no proof.
TEST_CASE("no error that callers take for a promise is made without a proof", "[send_record]")
{
    static_assert(!std::is_default_constructible_v<never_ran>);
    static_assert(!std::is_default_constructible_v<never_ran_here>);
    static_assert(!std::is_constructible_v<refusal, error_kind>);
    for (state::error_answer const& row : state::error_table())
    {
        CAPTURE(row.name);
        refusal const unproved = refusal::without_proof(row.kind);
        CHECK_FALSE(is_promise(unproved));
        CHECK_FALSE(states_not_run(unproved.kind()));
        CHECK(sent_to(first, send_proof::none).refusal_as(row.kind).kind() == unproved.kind());
        CHECK(send_record{}.refusal_as(row.kind).kind() == row.kind);
    }
}

TEST_CASE("a call never ran where nothing was written or each upstream refused it by its id",
          "[send_record]")
{
    send_record sends;
    CHECK(sends.prove_never_ran());
    sends.begin(first);
    CHECK(sends.prove_never_ran());
    sends.note_written();
    CHECK_FALSE(sends.prove_never_ran());
    CHECK(sends.possible_runs() == 1);
    sends.end(send_proof::refused);
    CHECK(sends.prove_never_ran());
    sends.begin(second);
    sends.note_written();
    CHECK_FALSE(sends.prove_never_ran());
    CHECK(sends.written() == 2);
    CHECK(sends.has_written_to(first));
}

// Guards against a promise for a run that was ended: it ran.
TEST_CASE("a run that was stopped or is gone is no call that never ran", "[send_record]")
{
    for (send_proof const proof : {send_proof::none, send_proof::stopped, send_proof::unknown_there,
                                   send_proof::process_gone, send_proof::restarted})
    {
        send_record const sends = sent_to(first, proof);
        CHECK_FALSE(sends.prove_never_ran());
        CHECK(sends.refusal_as(error_kind::overloaded).kind() == error_kind::may_have_run);
        CHECK(sends.decline_as(error_kind::peer_declined).kind() == error_kind::may_have_run);
        CHECK_FALSE(sends.may_send_again(false, 5));
        CHECK(run_ended::by(proof).has_value() == (proof != send_proof::none));
    }
}

// Guards against bytes that are forgotten as their connection could not be kept.
TEST_CASE("a send that was written can't be recorded as one that was not", "[send_record]")
{
    CHECK_FALSE(sent_to(first, send_proof::not_written).prove_never_ran());
}

TEST_CASE("a peer's call is declined by the sends of this VM alone", "[send_record]")
{
    send_record const sends{1};
    CHECK(sends.decline_as(error_kind::peer_declined).kind() == error_kind::peer_declined);
    CHECK(sends.refusal_as(error_kind::overloaded).kind() == error_kind::may_have_run);
    CHECK(sends.may_send_again(true, 2));
    CHECK_FALSE(sends.may_send_again(true, 1));
}

// Guards against proofs that only look like ones: each part of a statement is needed.
TEST_CASE("a statement proves a send only whole and under the call's id and where it was written",
          "[send_record]")
{
    for (unsigned mask = 0; mask < 16; ++mask)
    {
        exchange_evidence const seen{(mask & 1U) != 0, (mask & 2U) != 0, (mask & 4U) != 0,
                                     (mask & 8U) != 0};
        CAPTURE(mask);
        send_proof const expected = !seen.is_written ? send_proof::not_written
                                    : mask == 15     ? send_proof::refused
                                                     : send_proof::none;
        CHECK(proof_in(seen) == expected);
    }
}

// Drawn sends at upstreams that run what was written unless they refused it, now or later. Guards
// against a promise, or a second send of a call that may run once, while a run is possible.
TEST_CASE("no order of sends makes a promise while a run is possible", "[send_record][seeds]")
{
    std::size_t promises = 0;
    for (std::uint32_t seed = 1; seed <= 10'000; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random{seed};
        std::uint32_t const elsewhere = random() % 8 == 0 ? 1 : 0;
        send_record sends{elsewhere};
        std::uint32_t may_run = elsewhere;
        for (int send = 0; send < 6; ++send)
        {
            sends.begin(state::member_key{1 + random() % 3});
            bool const is_written = random() % 2 == 0;
            bool const is_refused = random() % 2 == 0;
            exchange_evidence seen{is_written, random() % 4 != 0, random() % 4 != 0, is_refused};
            if (is_written)
            {
                sends.note_written();
                ++may_run;
            }
            REQUIRE(sends.possible_runs() >= may_run);
            // A statement under another id, or half of one, is about something else.
            bool const is_proved = is_written && is_refused && seen.is_whole && seen.has_own_id;
            may_run -= is_proved ? 1 : 0;
            sends.end(proof_in(seen));
            REQUIRE(sends.possible_runs() == may_run);
            REQUIRE(is_promise(sends.refusal_as(error_kind::overloaded)) == (may_run == 0));
            REQUIRE(sends.may_send_again(false, 9) == (may_run == 0));
            promises += may_run == 0 ? 1 : 0;
        }
    }
    CHECK(promises > 10'000);
}
