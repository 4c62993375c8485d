#include <plumdale/coordination/directory_sync.hpp>
#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/coordination/service_directory.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_rows = 512;
constexpr double row_bytes = 100.0;
constexpr double digest_bytes = 8.0;
constexpr double link_bytes_per_second = 20e6 / 8.0;
constexpr state::duration request_timeout = 700ms;
constexpr state::duration step = 20ms;

state::service_member upstream(std::size_t index)
{
    state::service_member member;
    member.name = "i-" + std::to_string(index);
    member.service = "lists";
    member.zone = "a";
    member.slots = 24;
    member.revision = index + 1;
    return member;
}

/// \brief One entry VM: its directory, its link, and the answer that it waits for.
struct syncing_vm
{
    syncing_vm(std::size_t index, std::size_t fleet)
        : id{index + 1}, random{static_cast<unsigned>(index + 1)}, view{id}, sync{random}
    {
        // The others' first messages, before they had anything.
        for (std::size_t peer = 0; peer < fleet; ++peer)
        {
            receive(peer, 1, 1, UINT32_MAX, 0s);
        }
    }

    void receive(std::size_t peer, std::uint64_t sequence, std::uint64_t digest,
                 std::uint32_t platform_age_ms, state::time_point now)
    {
        fleet_update update;
        update.sender = state::node_id{peer + 1};
        update.incarnation_number = state::incarnation{1};
        update.sequence = sequence;
        update.directory = digest;
        update.configuration = 1;
        update.platform_age_ms = platform_age_ms;
        view.apply_update(update, {static_cast<std::uint32_t>(peer), 1}, directory.digest(), now);
    }

    void receive(std::size_t peer, std::uint64_t sequence, std::uint64_t digest,
                 std::uint32_t platform_age_ms, state::duration now)
    {
        receive(peer, sequence, digest, platform_age_ms, state::time_point{now});
    }

    state::node_id id;
    std::minstd_rand random;
    fleet_view view;
    service_directory directory;
    directory_sync sync;
    /// \brief When its link will have sent all answers that it owes.
    state::time_point link_free_at{};
    double bytes_sent = 0.0;
    std::vector<state::service_member> awaited;
    state::time_point answer_at = state::never;
    state::time_point gives_up_at = state::never;
};

/// \brief A fleet whose first two VMs read the store; the others lack many rows.
class syncing_fleet
{
public:
    syncing_fleet(std::size_t vms, std::size_t upstreams, double share_known)
    {
        std::minstd_rand random{5};
        std::uniform_real_distribution<double> draw{0.0, 1.0};
        for (std::size_t i = 0; i < vms; ++i)
        {
            vms_.push_back(std::make_unique<syncing_vm>(i, vms));
            for (std::size_t row = 0; row < upstreams; ++row)
            {
                if (i < fleet_view::reader_count || draw(random) < share_known)
                {
                    vms_.back()->directory.merge(upstream(row), {});
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
            for (auto const& vm : vms_)
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

    [[nodiscard]] double max_bytes_sent() const
    {
        double most = 0.0;
        for (auto const& vm : vms_)
        {
            most = std::max(most, vm->bytes_sent);
        }
        return most;
    }

private:
    void send_reader_updates(state::time_point now)
    {
        ++sequence_;
        for (std::size_t reader = 0; reader < fleet_view::reader_count; ++reader)
        {
            for (auto const& vm : vms_)
            {
                vm->receive(reader, sequence_, vms_[reader]->directory.digest(), 50, now);
            }
        }
    }

    void request(syncing_vm& vm, state::time_point now)
    {
        if (!vm.sync.is_due(now))
        {
            return;
        }
        auto const peer = vm.view.peer_with_newer_directory(vm.random(), now);
        if (!peer)
        {
            return;
        }
        vm.sync.requested();
        syncing_vm& from = *vms_[peer->address];
        bucket_digests const digests = vm.directory.digests_by_bucket();
        vm.bytes_sent += digest_bytes * static_cast<double>(digests.size());
        vm.awaited = from.directory.rows_differing_from(digests, max_rows, vm.random()).members;
        double const bytes = row_bytes * static_cast<double>(vm.awaited.size());
        from.bytes_sent += bytes;
        auto const transfer = std::chrono::duration_cast<state::duration>(
            std::chrono::duration<double>(bytes / link_bytes_per_second));
        from.link_free_at = std::max(from.link_free_at, now) + transfer;
        vm.answer_at = from.link_free_at;
        vm.gives_up_at = now + request_timeout;
    }

    static void receive_answer(syncing_vm& vm, state::time_point now)
    {
        if (std::min(vm.answer_at, vm.gives_up_at) > now)
        {
            return;
        }
        std::uint64_t const before = vm.directory.digest();
        if (vm.answer_at <= vm.gives_up_at)
        {
            for (state::service_member const& row : vm.awaited)
            {
                vm.directory.merge(row, now);
            }
            vm.view.directory_changed(vm.directory.digest(), now);
        }
        vm.answer_at = state::never;
        vm.gives_up_at = state::never;
        vm.sync.answered(vm.directory.digest() != before, now);
    }

    [[nodiscard]] bool is_converged() const
    {
        return std::all_of(vms_.begin(), vms_.end(),
                           [this](auto const& vm)
                           { return vm->directory.digest() == vms_.front()->directory.digest(); });
    }

    std::vector<std::unique_ptr<syncing_vm>> vms_;
    std::uint64_t sequence_ = 1;
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
