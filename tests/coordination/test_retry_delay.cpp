#include <plumdale/coordination/retry_delay.hpp>

#include <catch2/catch.hpp>

using namespace plumdale::coordination;
using namespace std::chrono_literals;

TEST_CASE("a refused caller returns after the back-off only if it can wait for that",
          "[retry_delay]")
{
    CHECK(draw_retry_after_backoff(1s, 6s, 0.0) == 1s);
    CHECK(draw_retry_after_backoff(1s, 6s, 0.5) == 1'250ms);
    CHECK(draw_retry_after_backoff(1s, 3'300ms, 0.5) == 1'050ms);
    CHECK_FALSE(draw_retry_after_backoff(3s, 6s, 0.0));
}
