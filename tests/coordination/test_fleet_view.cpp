#include <plumdale/coordination/fleet_view.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

fleet_update update_from(std::uint64_t sender, std::uint64_t sequence,
                         std::uint32_t platform_age_ms)
{
    fleet_update message;
    message.sender = state::node_id{sender};
    message.incarnation_number = state::incarnation{100};
    message.sequence = sequence;
    message.platform_age_ms = platform_age_ms;
    message.whole = true;
    return message;
}

state::endpoint streams_of(std::uint64_t node)
{
    return {static_cast<std::uint32_t>(node), 7200};
}

/// \brief Views of some entry VMs that all receive the messages of each other.
class small_fleet
{
public:
    explicit small_fleet(std::size_t size)
    {
        for (std::uint64_t node = 1; node <= size; ++node)
        {
            views_.emplace_back(state::node_id{node});
        }
    }

    void send_update(std::uint64_t sender, std::uint32_t platform_age_ms, state::time_point now)
    {
        ++sequence_;
        for (fleet_view& view : views_)
        {
            view.apply_update(update_from(sender, sequence_, platform_age_ms), streams_of(sender),
                              0, now);
        }
    }

    [[nodiscard]] std::vector<std::uint64_t> readers(state::time_point now)
    {
        std::vector<std::uint64_t> nodes;
        for (std::uint64_t node = 1; node <= views_.size(); ++node)
        {
            if (views_[node - 1].update_reader_role(now))
            {
                nodes.push_back(node);
            }
        }
        return nodes;
    }

private:
    std::vector<fleet_view> views_;
    std::uint64_t sequence_ = 0;
};

/// \brief A VM's view of a reader whose directory has just been its own, of digest 7.
struct agreeing_view
{
    agreeing_view()
    {
        view.directory_changed(7, now);
        message.directory_version = 4;
        receive(7, 7, 0ms);
    }

    /// \brief Receives the reader's next message, `pause` after the one before.
    void receive(std::uint64_t directory, std::uint64_t own_directory, state::duration pause)
    {
        now += pause;
        ++message.sequence;
        message.directory = directory;
        view.apply_update(message, streams_of(2), own_directory, now);
    }

    fleet_view view{state::node_id{1}};
    state::time_point now{10s};
    fleet_update message = update_from(2, 1, 50);
};

void send_all_updates(small_fleet& fleet, std::size_t size, state::time_point now)
{
    for (std::uint64_t node = 1; node <= size; ++node)
    {
        fleet.send_update(node, 50, now);
    }
}

} // namespace

TEST_CASE("two VMs of a fleet that can reach the store read it", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    CHECK(fleet.readers(now).size() == 9);
    send_all_updates(fleet, 9, now);
    CHECK(fleet.readers(now).size() == fleet_view::reader_count);
}

// A key is revoked while the store rejects both readers. They know at once that they can't read; if
// other VMs took over only when the last read has become old, callers with the revoked key would be
// served for longer than operators are promised.
TEST_CASE("readers that lost the store are replaced as soon as they report it", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    send_all_updates(fleet, 9, now);
    std::vector<std::uint64_t> const before = fleet.readers(now);
    for (std::uint64_t const node : before)
    {
        fleet.send_update(node, UINT32_MAX, now + 10ms);
    }
    std::vector<std::uint64_t> const after = fleet.readers(now + 10ms);
    // The former readers keep trying.
    CHECK(after.size() == 2 * fleet_view::reader_count);
}

TEST_CASE("readers that fall silent are replaced before a configuration is due", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    send_all_updates(fleet, 9, now);
    std::vector<std::uint64_t> const before = fleet.readers(now);
    // The other VMs still send; what they know is as old as the readers' last update.
    state::time_point const later = now + 1'400ms;
    for (std::uint64_t node = 1; node <= 9; ++node)
    {
        bool const is_silent = std::find(before.begin(), before.end(), node) != before.end();
        if (!is_silent)
        {
            fleet.send_update(node, UINT32_MAX, later);
        }
    }
    CHECK(fleet.readers(later).size() > fleet_view::reader_count);
}

TEST_CASE("a newer configuration is requested from different peers", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    for (std::uint64_t node = 2; node <= 40; ++node)
    {
        fleet_update message = update_from(node, 1, 50);
        message.configuration = node <= 20 ? 7 : 6;
        view.apply_update(message, streams_of(node), 0, now);
    }
    std::vector<state::endpoint> asked;
    for (std::uint64_t draw = 0; draw < 50; ++draw)
    {
        auto const peer = view.peer_with_newer_configuration(6, draw, now);
        REQUIRE(peer);
        CHECK(peer->address <= 20);
        if (std::find(asked.begin(), asked.end(), *peer) == asked.end())
        {
            asked.push_back(*peer);
        }
    }
    CHECK(asked.size() > 8);
    CHECK_FALSE(view.peer_with_newer_configuration(7, 1, now));
}

TEST_CASE("a directory that differs is fetched once updates had time to arrive", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    fleet_update message = update_from(2, 1, 50);
    message.directory = 99;
    view.apply_update(message, streams_of(2), 1, now);
    CHECK_FALSE(view.peer_with_newer_directory(1, now + 100ms));
    message.sequence = 2;
    view.apply_update(message, streams_of(2), 1, now + 700ms);
    CHECK(view.peer_with_newer_directory(1, now + 700ms));
    view.directory_changed(99, now + 700ms);
    CHECK_FALSE(view.peer_with_newer_directory(1, now + 700ms));
}

TEST_CASE("a smaller incarnation is accepted once the other is silent", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    CHECK(view.apply_update(update_from(2, 5, 50), streams_of(2), 0, now));
    fleet_update restarted = update_from(2, 1, 50);
    restarted.incarnation_number = state::incarnation{90};
    CHECK_FALSE(view.apply_update(restarted, streams_of(2), 0, now + 100ms));
    CHECK(view.apply_update(restarted, streams_of(2), 0, now + 1s));
}

namespace
{

/// \brief A fleet in virtual time: periodic messages with heartbeats, and datagrams that may be
/// lost.
class timed_fleet
{
public:
    timed_fleet(std::size_t size, std::uint32_t seed) : vms_(size), random_{seed}
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            vms_[i].view = fleet_view{state::node_id{state::mix(i + 1, 99)}};
            vms_[i].sends_at = now_ + std::chrono::milliseconds{random_() % 1'000};
        }
    }

    void run(state::duration time)
    {
        state::time_point const end = now_ + time;
        for (; now_ < end; now_ += step)
        {
            for (std::size_t i = 0; i < vms_.size(); ++i)
            {
                advance(i);
            }
        }
    }

    void kill(std::size_t vm)
    {
        vms_[vm].is_up = false;
    }
    void restart(std::size_t vm)
    {
        vms_[vm].is_up = true;
        vms_[vm].view = fleet_view{state::node_id{state::mix(vm + 1, 99)}, now_ + 1500ms};
        vms_[vm].reads = now_.time_since_epoch().count();
        vms_[vm].read_at = {};
        vms_[vm].was_reader = false;
    }
    /// \brief Drops all datagrams between VMs below `vm` and the others.
    void partition_at(std::size_t vm)
    {
        partition_ = vm;
    }
    [[nodiscard]] std::vector<std::size_t> readers() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            if (vms_[i].is_up && vms_[i].view.is_reader())
            {
                found.push_back(i);
            }
        }
        return found;
    }

    /// \brief How often a VM became a reader.
    std::size_t reader_starts = 0;
    /// \brief Datagrams lost of 1,000.
    std::uint32_t lost_of_thousand = 0;
    /// \brief The store rejects all reads.
    bool store_is_down = false;

private:
    static constexpr state::duration step = 100ms;
    static constexpr state::duration read_interval = 750ms;

    struct entry_vm
    {
        fleet_view view{state::node_id{1}};
        state::time_point sends_at{};
        state::time_point read_at{};
        std::uint64_t reads = 1;
        std::uint64_t sequence = 0;
        bool is_up = true;
        bool was_reader = false;
        bool has_failed = false;
    };

    void advance(std::size_t i)
    {
        entry_vm& self = vms_[i];
        if (!self.is_up)
        {
            return;
        }
        bool const reads = self.view.update_reader_role(now_);
        bool const starts_reading = reads && !self.was_reader;
        reader_starts += starts_reading ? 1 : 0;
        self.was_reader = reads;
        bool const had_failed = self.has_failed;
        if (reads && self.read_at + read_interval <= now_)
        {
            self.has_failed = store_is_down;
            self.read_at = store_is_down ? self.read_at : now_;
            self.reads += store_is_down ? 0 : 1;
        }
        self.has_failed = self.has_failed && reads;
        if (now_ >= self.sends_at || starts_reading || self.has_failed != had_failed)
        {
            send_update(i);
        }
    }

    void send_update(std::size_t i)
    {
        entry_vm& self = vms_[i];
        auto const jitter = std::chrono::milliseconds{random_() % 50};
        self.sends_at =
            now_ + jitter +
            (self.view.is_reader() ? self.view.reader_interval() : self.view.follower_interval());
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - self.read_at);
        fleet_update message =
            update_from(state::mix(i + 1, 99), ++self.sequence,
                        self.has_failed ? UINT32_MAX : static_cast<std::uint32_t>(age.count()));
        message.incarnation_number = state::incarnation{self.reads};
        message.sequence = self.sequence;
        message.heartbeat = self.reads;
        message.readers = self.view.reader_heartbeats(now_);
        for (std::size_t to = 0; to < vms_.size(); ++to)
        {
            bool const is_delivered =
                (to < partition_) == (i < partition_) && random_() % 1'000 >= lost_of_thousand;
            if (to != i && vms_[to].is_up && is_delivered)
            {
                vms_[to].view.apply_update(message, streams_of(i), 0, now_);
            }
        }
    }

    std::vector<entry_vm> vms_;
    std::minstd_rand random_;
    state::time_point now_{100s};
    std::size_t partition_ = 0;
};

constexpr std::size_t large_fleet_size = 300;

} // namespace

// Load pattern: 300 VMs, one datagram in twenty is lost. If each VM that misses a message
// of a reader took it for silent, some hundred at a time would read configuration and list: 6,000
// reads a minute of what two readers have already sent.
TEST_CASE("lost datagrams of readers change nothing in a fleet of 300", "[fleet_view][load]")
{
    timed_fleet fleet{large_fleet_size, 5};
    fleet.lost_of_thousand = 50;
    fleet.run(8s);
    REQUIRE(fleet.readers().size() == fleet_view::reader_count);
    fleet.reader_starts = 0;
    fleet.run(15s);
    CHECK(fleet.reader_starts <= 2);
    CHECK(fleet.readers().size() == fleet_view::reader_count);
}

// Both readers lose power. Callers' new keys are refused until another VM reads, but not all
// 298 others may read the store at once.
TEST_CASE("a dead pair of readers is replaced in time and by few VMs", "[fleet_view][load]")
{
    for (std::uint32_t seed = 1; seed <= 1; ++seed)
    {
        timed_fleet fleet{large_fleet_size, seed};
        fleet.run(8s);
        for (std::size_t const reader : fleet.readers())
        {
            fleet.kill(reader);
        }
        fleet.reader_starts = 0;
        fleet.run(2'600ms);
        CHECK(fleet.readers().size() >= fleet_view::reader_count);
        fleet.run(5s);
        CHECK(fleet.reader_starts <= 8);
        CHECK(fleet.readers().size() == fleet_view::reader_count);
    }
}

// A zone of 50 VMs is partitioned from the others and reaches the store; both readers are outside.
// Its callers depend on readers of its own; when the partition heals, two VMs of the fleet remain
// readers.
TEST_CASE("a partitioned zone has its own readers", "[fleet_view][load]")
{
    for (std::uint32_t seed = 1; seed <= 1; ++seed)
    {
        timed_fleet fleet{large_fleet_size, seed};
        fleet.run(8s);
        fleet.reader_starts = 0;
        fleet.partition_at(50);
        fleet.run(4s);
        auto const readers = fleet.readers();
        auto const inside = std::count_if(readers.begin(), readers.end(),
                                          [](std::size_t reader) { return reader < 50; });
        CHECK(inside >= 1);
        fleet.run(6s);
        CHECK(fleet.reader_starts <= 20);
        fleet.partition_at(0);
        fleet.run(10s);
        CHECK(fleet.readers().size() == fleet_view::reader_count);
    }
}

// Hundreds of VMs forward the heartbeat of a dead reader; this must not keep the reader alive.
TEST_CASE("the forwarded heartbeat of a dead reader ages", "[fleet_view]")
{
    timed_fleet fleet{large_fleet_size, 3};
    fleet.run(8s);
    std::vector<std::size_t> const dead = fleet.readers();
    for (std::size_t const reader : dead)
    {
        fleet.kill(reader);
    }
    // VMs that start now have never received a message of the dead readers.
    for (std::size_t vm = 100; vm < 130; ++vm)
    {
        bool const is_dead = std::find(dead.begin(), dead.end(), vm) != dead.end();
        if (!is_dead)
        {
            fleet.restart(vm);
        }
    }
    fleet.run(6s);
    CHECK(fleet.readers().size() == fleet_view::reader_count);
}

// When the store is back, reading resumes; until then few VMs try to read it, not all 300.
TEST_CASE("a store that is down for all is not read by all", "[fleet_view][load]")
{
    timed_fleet fleet{large_fleet_size, 4};
    fleet.run(8s);
    fleet.reader_starts = 0;
    fleet.store_is_down = true;
    fleet.run(4'500ms);
    CHECK(fleet.reader_starts <= 120);
    fleet.store_is_down = false;
    fleet.run(10s);
    CHECK(fleet.readers().size() == fleet_view::reader_count);
}

// A reader's message has the digest of a directory that this VM had a moment ago: the change is in
// flight to the reader. If that counted as a loss, hundreds of VMs would fetch the whole directory
// from the two readers.
TEST_CASE("a reader that is behind is not asked for its directory", "[fleet_view]")
{
    agreeing_view vm;
    vm.view.directory_changed(8, vm.now);
    for (int i = 0; i < 60; ++i)
    {
        vm.receive(7, 8, 500ms);
        CHECK_FALSE(vm.view.peer_with_newer_directory(1, vm.now));
    }
}

// In a release directories change all the time, and those that are compared are seldom equal.
TEST_CASE("a reader is not asked while changes are in flight both ways", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point now{10s};
    fleet_update message = update_from(2, 1, 50);
    for (std::uint64_t digest = 7; digest < 60; digest += 2)
    {
        // Its message from between two changes arrives after both, and the next one before both.
        view.directory_changed(digest, now);
        view.directory_changed(digest + 1, now);
        message.directory = digest;
        message.directory_version += 2;
        ++message.sequence;
        view.apply_update(message, streams_of(2), digest + 1, now + 10ms);
        message.directory = digest + 1'000;
        ++message.directory_version;
        ++message.sequence;
        view.apply_update(message, streams_of(2), digest + 1, now + 300ms);
        CHECK_FALSE(view.peer_with_newer_directory(1, now + 300ms));
        now += 350ms;
    }
}

TEST_CASE("a reader whose directory changed and is a former one again is asked", "[fleet_view]")
{
    agreeing_view vm;
    // Both changes at the reader, one here: the second one's datagram is lost.
    vm.view.directory_changed(8, vm.now);
    vm.message.directory_version += 2;
    for (int i = 0; i < 3; ++i)
    {
        vm.receive(7, 8, 350ms);
    }
    CHECK(vm.view.peer_with_newer_directory(1, vm.now));
}

TEST_CASE("a version of a peer's former incarnation says nothing of the next one", "[fleet_view]")
{
    agreeing_view vm;
    vm.view.directory_changed(8, vm.now);
    ++vm.message.incarnation_number.value;
    for (int i = 0; i < 3; ++i)
    {
        vm.receive(7, 8, 350ms);
    }
    CHECK(vm.view.peer_with_newer_directory(1, vm.now));
}

// If this VM lacks an update that a reader has, most peers have the update as well.
TEST_CASE("a directory is requested from any peer that agrees with a reader", "[fleet_view][load]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    for (state::time_point const at : {now, now + 1s})
    {
        for (std::uint64_t node = 2; node <= large_fleet_size; ++node)
        {
            fleet_update message = update_from(node, at == now ? 1 : 2, node <= 3 ? 50 : 60'000);
            message.directory = 99;
            view.apply_update(message, streams_of(node), 1, at);
        }
    }
    std::vector<state::endpoint> asked;
    for (std::uint64_t draw = 0; draw < 100; ++draw)
    {
        auto const peer = view.peer_with_newer_directory(draw, now + 1s);
        REQUIRE(peer);
        if (std::find(asked.begin(), asked.end(), *peer) == asked.end())
        {
            asked.push_back(*peer);
        }
    }
    CHECK(asked.size() > 60);
}
