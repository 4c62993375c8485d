#include "policy_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;
using testing::at;

namespace
{

constexpr auto draft = state::work_kind::draft;
constexpr auto question = state::work_kind::question;
constexpr state::customer_id large{1};
constexpr state::customer_id modest{2};

std::vector<state::customer> two_customers()
{
    state::customer a;
    a.id = large;
    state::customer b;
    b.id = modest;
    return {a, b};
}

} // namespace

// Guards against refusing a modest customer's calls while another customer requests far more than
// the capacity. The entry VM knows nothing but both demands.
TEST_CASE("in a burst only the customer that causes it is over its share", "[customer_shares]")
{
    customer_shares shares;
    auto const customers = two_customers();
    shares.configure(customers, 8);
    for (int i = 0; i < 100; ++i)
    {
        shares.refresh(at(0.5 * i));
        shares.requested(large, draft, 9000);
        shares.requested(modest, draft, 300);
        shares.granted(large, 700);
        shares.granted(modest, 300);
    }
    CHECK(shares.status(large, draft) == share_status::over_share);
    CHECK(shares.status(large, question) == share_status::within_share);
    CHECK(shares.status(modest, draft) == share_status::within_share);
}

TEST_CASE("while all demand is met no customer is over its share", "[customer_shares]")
{
    customer_shares shares;
    auto const customers = two_customers();
    shares.configure(customers, 8);
    for (int i = 0; i < 100; ++i)
    {
        shares.refresh(at(0.5 * i));
        shares.requested(large, draft, 9000);
        shares.granted(large, 9000);
    }
    CHECK(shares.status(large, draft) == share_status::within_share);
}

TEST_CASE("shares follow the weights", "[customer_shares]")
{
    customer_shares shares;
    auto customers = two_customers();
    customers[0].weight = 9.0;
    shares.configure(customers, 1);
    for (int i = 0; i < 100; ++i)
    {
        shares.refresh(at(0.5 * i));
        shares.requested(large, draft, 800);
        shares.requested(modest, draft, 800);
        shares.granted(large, 800);
        shares.granted(modest, 200);
    }
    CHECK(shares.status(large, draft) == share_status::within_share);
    CHECK(shares.status(modest, draft) == share_status::over_share);
}

TEST_CASE("hard limits are divided by the dispatchers, rounded up", "[customer_shares]")
{
    customer_shares shares;
    auto customers = two_customers();
    customers[0].in_flight_limit = 10;
    customers[1].token_rate_limit = 800.0;
    shares.configure(customers, 8);
    shares.refresh(at(0));
    shares.refresh(at(10));
    shares.granted(large, 1);
    CHECK(shares.status(large, draft) == share_status::within_share);
    shares.granted(large, 1);
    CHECK(shares.status(large, draft) == share_status::over_limit);
    shares.ended(large, 1, 1);
    CHECK(shares.status(large, draft) == share_status::within_share);

    shares.granted(modest, 600); // 100 per second here, bursts of 500.
    CHECK(shares.status(modest, draft) == share_status::over_limit);
    shares.refresh(at(12));
    CHECK(shares.status(modest, draft) == share_status::within_share);
}
