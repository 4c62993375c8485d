#include <plumdale/state/error_kind.hpp>

#include <catch2/catch.hpp>

using namespace plumdale::state;

TEST_CASE("every error kind has a row with a unique name", "[error_kind]")
{
    for (error_answer const& row : error_table())
    {
        CHECK(find_answer(row.name) == &row);
        CHECK(&answer_for(row.kind) == &row);
        CHECK_FALSE(row.message.empty());
    }
}

TEST_CASE("a temporary refusal of a run carries a retry time", "[error_kind]")
{
    for (error_answer const& row : error_table())
    {
        if (row.claim == run_claim::not_run && (row.status == 503 || row.status == 429))
        {
            CHECK(row.retry_after);
        }
    }
}
