#include <plumdale/coordination/fair_queue.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;

namespace
{

state::generation_id numbered(std::uint64_t sequence)
{
    return {{1}, {1}, sequence, {}};
}

} // namespace

TEST_CASE("customers take turns, and each keeps its own order", "[fair_queue]")
{
    fair_queue queue;
    fair_queue::flow_key const large{{1}, state::work_kind::draft, {9}};
    fair_queue::flow_key const small{{2}, state::work_kind::draft, {9}};
    for (std::uint64_t i = 1; i <= 100; ++i)
    {
        queue.push(large, numbered(i));
    }
    queue.push(small, numbered(200));

    std::vector<state::generation_id> first;
    queue.heads(1, first);
    queue.heads(1, first);
    CHECK(first == std::vector{numbered(1), numbered(200)});

    queue.remove(large, numbered(1));
    queue.remove(small, numbered(200));
    queue.remove(small, numbered(200));
    std::vector<state::generation_id> all;
    queue.heads(10, all);
    CHECK(all == std::vector{numbered(2)});
    CHECK(queue.size() == 99);
}
