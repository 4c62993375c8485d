#include "directory_fleet.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_rows = directory_fleet::max_rows;
constexpr double row_bytes = directory_fleet::row_bytes;

state::service_member upstream(std::size_t index)
{
    return listed_upstream(index, index + 1);
}

/// \brief A fleet whose first two VMs read the store; the others lack many rows.
class syncing_fleet : public directory_fleet
{
public:
    syncing_fleet(std::size_t vms, std::size_t upstreams, double share_known) : directory_fleet{vms}
    {
        std::minstd_rand random{5};
        std::uniform_real_distribution<double> draw{0.0, 1.0};
        for (std::size_t i = 0; i < vms; ++i)
        {
            send_first_updates(*this->vms()[i]);
            for (std::size_t row = 0; row < upstreams; ++row)
            {
                if (i < fleet_view::reader_count || draw(random) < share_known)
                {
                    this->vms()[i]->directory.merge(upstream(row), {});
                }
            }
        }
    }

    /// \brief Runs until all directories are equal; returns how long that took, at most `limit`.
    state::duration run(state::duration limit)
    {
        state::time_point now{};
        for (; now < state::time_point{limit}; now += step)
        {
            if (now.time_since_epoch() % 1s == 0s)
            {
                send_reader_updates(now);
            }
            for (auto const& vm : vms())
            {
                receive_answer(*vm, now);
                request(*vm, now);
            }
            if (is_converged())
            {
                break;
            }
        }
        return now.time_since_epoch();
    }

private:
    // The others' first messages, before they had anything.
    void send_first_updates(syncing_vm& to)
    {
        for (auto const& from : vms())
        {
            fleet_update update;
            update.sender = from->id;
            update.incarnation_number = state::incarnation{1};
            update.sequence = 1;
            update.directory = 1;
            update.configuration = 1;
            from->sequence = 1;
            to.receive(update, {});
        }
    }

    void send_reader_updates(state::time_point now)
    {
        for (std::size_t reader = 0; reader < fleet_view::reader_count; ++reader)
        {
            fleet_update const update = vms()[reader]->make_update(50);
            for (auto const& vm : vms())
            {
                vm->receive(update, now);
            }
        }
    }
};

} // namespace

// Load pattern: all upstreams start at once, and each VM missed other datagrams of the broadcasts.
// All of them requested thousands of rows from the two readers; no answer arrived in time, and the
// readers' links were full for as long as the fleet ran.
TEST_CASE("VMs that lack many rows get them without filling the readers' links",
          "[directory_sync][load]")
{
    struct fleet_size
    {
        std::size_t vms = 0;
        std::size_t upstreams = 0;
    };
    // What a VM sends may grow with the directory, but not with the fleet.
    constexpr double max_directories_sent = 7.5;
    for (fleet_size const size : {fleet_size{150, 2'000}, fleet_size{300, 4'000}})
    {
        syncing_fleet fleet{size.vms, size.upstreams, 0.7};
        state::duration const time = fleet.run(20s);
        INFO(size.vms << " VMs converged after " << std::chrono::duration<double>(time).count()
                      << " s, at most " << fleet.max_bytes_sent() << " bytes from one VM");
        CHECK(time < 8s);
        CHECK(fleet.max_bytes_sent() <
              max_directories_sent * row_bytes * static_cast<double>(size.upstreams));
    }
}

TEST_CASE("answers that bring nothing make requests rarer, and one that does undoes it",
          "[directory_sync]")
{
    std::minstd_rand random{1};
    directory_sync sync{random};
    state::time_point now{10s};
    REQUIRE(sync.is_due(now));
    sync.requested();
    CHECK_FALSE(sync.is_due(now + 1h));
    for (int i = 0; i < 10; ++i)
    {
        sync.answered(false, now);
    }
    CHECK_FALSE(sync.is_due(now + directory_sync::max_pause / 2 - 1ms));
    CHECK(sync.is_due(now + directory_sync::max_pause));
    sync.answered(true, now);
    CHECK(sync.is_due(now + directory_sync::min_pause));
}

TEST_CASE("a large directory is divided into more buckets, and each answer is bounded",
          "[directory_sync][service_directory]")
{
    std::size_t const upstreams = GENERATE(6'000, 12'000);
    service_directory ahead;
    service_directory behind;
    for (std::size_t row = 0; row < upstreams; ++row)
    {
        ahead.merge(upstream(row), {});
    }
    CHECK(ahead.digests_by_bucket().size() == (upstreams == 6'000 ? 512 : 1'024));
    CHECK(behind.digests_by_bucket().size() == service_directory::min_buckets);
    std::size_t answers = 0;
    for (bool is_rest = false; !is_rest; ++answers)
    {
        REQUIRE(answers < upstreams / 300);
        auto const rows = ahead.rows_differing_from(behind.digests_by_bucket(), max_rows, answers);
        is_rest = rows.is_rest;
        // Whole buckets: behind a directory of a few rows they are still large.
        CHECK(rows.members.size() < max_rows + 2 * upstreams / service_directory::min_buckets);
        for (state::service_member const& row : rows.members)
        {
            behind.merge(row, {});
        }
    }
    CHECK(behind.digest() == ahead.digest());
    // One row that differs costs about a bucket, not a 64th of all rows.
    ahead.merge(upstream(upstreams), {});
    auto const rows = ahead.rows_differing_from(behind.digests_by_bucket(), max_rows, 1);
    CHECK(rows.members.size() < 3 * service_directory::rows_per_bucket);
}
