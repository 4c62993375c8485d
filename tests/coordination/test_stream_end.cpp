#include <plumdale/coordination/stream_end.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;

namespace
{

constexpr state::member_key source{1};
constexpr state::member_key other{2};

/// \brief A run, its orders and its process, as they really are, and what the record is told.
class played_end
{
public:
    explicit played_end(std::uint32_t seed) : random_{seed}
    {
        record_.run_begins();
    }

    void step()
    {
        switch (random_() % 8)
        {
        case 0:
            return write_order();
        case 1:
        case 2:
            return carry_out_order();
        case 3:
        case 4:
            return answer_order();
        case 5:
            return generate_all();
        case 6:
            return kill();
        default:
            return close();
        }
    }

    /// \brief Returns whether the record takes the stream for whole, after a question to its
    /// process.
    [[nodiscard]] bool seems_whole() const
    {
        return lives_ && record_.proof_by_answer().has_value();
    }
    [[nodiscard]] bool is_whole() const noexcept
    {
        return is_generated_;
    }

private:
    struct order
    {
        bool is_carried_out = false;
        bool found_run = false;
        bool is_answered = false;
    };

    void write_order()
    {
        record_.stop_ordered(source);
        orders_.push_back({});
    }

    void carry_out_order()
    {
        for (order& each : orders_)
        {
            if (lives_ && !std::exchange(each.is_carried_out, true))
            {
                each.found_run = runs_;
                runs_ = false;
                return;
            }
        }
    }

    // Answers come in the order in which the orders were written: each waits for the one before.
    void answer_order()
    {
        for (order& each : orders_)
        {
            if (each.is_answered)
            {
                continue;
            }
            each.is_answered = true;
            // Lost, unreadable, or of a status that says nothing.
            bool const says_nothing = !each.is_carried_out || random_() % 2 == 0;
            stop_outcome const truth =
                each.found_run ? stop_outcome::open : stop_outcome::no_effect;
            return record_.order_ended(source, says_nothing ? stop_outcome::open : truth);
        }
    }

    void generate_all()
    {
        is_generated_ = is_generated_ || (runs_ && lives_);
        runs_ = runs_ && !is_generated_;
    }

    void kill()
    {
        if (random_() % 4 == 0)
        {
            lives_ = false;
            runs_ = false;
            record_.closed_in_order(source);
        }
    }

    // A process closes a stream once its run is over, however it ended.
    void close()
    {
        if (!runs_)
        {
            record_.closed_in_order(source);
        }
    }

    std::minstd_rand random_;
    stream_end_record record_;
    std::vector<order> orders_;
    bool runs_ = true;
    bool lives_ = true;
    bool is_generated_ = false;
};

} // namespace

TEST_CASE("a stream is whole only by a proof", "[stream_end]")
{
    CHECK_FALSE(stream_whole::by(end_proof::none));
    CHECK_FALSE(stream_whole::by(end_proof::count));
    CHECK(stream_whole::by(end_proof::framed)->proof() == end_proof::framed);
}

TEST_CASE("a stream that is closed without an order is whole if its process lived on",
          "[stream_end]")
{
    stream_end_record record;
    record.run_begins();
    CHECK_FALSE(record.proof_by_answer());
    record.closed_in_order(source);
    REQUIRE(record.proof_by_answer());
    CHECK(record.proof_by_answer()->proof() == end_proof::lived_on);
}

TEST_CASE("an order that may take effect leaves a close unproved, however old it is",
          "[stream_end]")
{
    stream_end_record record;
    record.run_begins();
    record.stop_ordered(source);
    record.order_ended(source, stop_outcome::open);
    record.closed_in_order(source);
    CHECK_FALSE(record.may_be_whole());
    record.stop_ordered(source);
    record.order_ended(source, stop_outcome::no_effect);
    CHECK_FALSE(record.may_be_whole());
    CHECK(record.open_orders() == 1);
    record.run_begins();
    record.closed_in_order(source);
    CHECK_FALSE(record.may_be_whole());
}

TEST_CASE("an order to another upstream stops no run here", "[stream_end]")
{
    stream_end_record record;
    record.run_begins();
    record.stop_ordered(other);
    record.run_begins();
    record.closed_in_order(source);
    CHECK(record.may_be_whole());
}

TEST_CASE("an order that found no run leaves the end proved by the process", "[stream_end]")
{
    stream_end_record record;
    record.run_begins();
    record.stop_ordered(source);
    record.closed_in_order(source);
    CHECK_FALSE(record.may_be_whole());
    record.order_ended(source, stop_outcome::no_effect);
    CHECK(record.may_be_whole());
}

// The order may arrive twice, and stop the next run too.
TEST_CASE("an order that was carried out leaves closes at its upstream unproved", "[stream_end]")
{
    stream_end_record record;
    record.run_begins();
    record.stop_ordered(source);
    record.order_ended(source, stop_outcome::open);
    record.closed_in_order(source);
    CHECK_FALSE(record.may_be_whole());
    record.run_begins();
    record.closed_in_order(source);
    CHECK_FALSE(record.may_be_whole());
    record.run_begins();
    record.closed_in_order(other);
    CHECK(record.may_be_whole());
}

// Guards against a false end in any order of orders, effects, answers, closes and kills.
TEST_CASE("no order of events makes part of a stream seem whole", "[stream_end]")
{
    constexpr std::uint32_t seeds = 10'000;
    constexpr int steps = 24;
    std::size_t whole = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        played_end played{seed};
        for (int step = 0; step < steps; ++step)
        {
            played.step();
            CAPTURE(seed, step);
            REQUIRE((!played.seems_whole() || played.is_whole()));
        }
        whole += played.seems_whole() ? 1 : 0;
    }
    CHECK(whole > 0);
}
