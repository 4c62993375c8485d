#include <plumdale/coordination/evidence_exchange.hpp>
#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/coordination/request_quarantine.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::request_digest request{77};
constexpr state::time_point start{100s};
/// \brief A VM that receives its peers' messages must have the evidence within this time.
constexpr state::duration contact_timeout = 3s;

/// \brief One entry VM: its evidence, and when it next sends a message to all others.
struct entry_vm
{
    request_quarantine quarantine;
    evidence_exchange exchange;
    state::time_point sends_at{};
};

/// \brief A fleet in virtual time with loss of datagrams.
struct lossy_fleet
{
    lossy_fleet(std::size_t count, unsigned seed) : random{seed}, vms(count)
    {
        interval = std::max<state::duration>(fleet_view::min_interval,
                                             static_cast<std::int64_t>(count) *
                                                 fleet_view::follower_interval_per_peer);
        for (entry_vm& vm : vms)
        {
            vm.sends_at = start + state::duration{static_cast<state::duration::rep>(
                                      random() % static_cast<std::uint64_t>(interval.count()))};
        }
    }

    [[nodiscard]] bool arrives()
    {
        return random() % 100 >= 5;
    }

    void apply_update(entry_vm& from, entry_vm& at, bool is_request, state::time_point now)
    {
        if (!arrives())
        {
            return;
        }
        evidence_answer const answer =
            at.exchange.received({at.quarantine.digest(), from.quarantine.digest(), is_request,
                                  vms.size() - 1, random()},
                                 now);
        if (answer.should_send && arrives())
        {
            ++sent_count;
            for (request_evidence const& each : at.quarantine.evidence(96, now))
            {
                from.quarantine.apply_update(each, now);
            }
        }
        if (answer.should_request)
        {
            ++request_count;
            apply_update(at, from, true, now);
        }
    }

    void announce(entry_vm& from, state::time_point now)
    {
        for (request_evidence const& each : from.quarantine.unreported())
        {
            ++announced_count;
            for (entry_vm& other : vms)
            {
                if (&other != &from && arrives())
                {
                    other.quarantine.apply_update(each, now);
                }
            }
        }
    }

    void run(state::duration time)
    {
        for (state::time_point now = start; now < start + time; now += 10ms)
        {
            for (entry_vm& vm : vms)
            {
                announce(vm, now);
                if (now >= vm.sends_at)
                {
                    vm.sends_at += interval;
                    for (entry_vm& other : vms)
                    {
                        if (&other != &vm)
                        {
                            apply_update(vm, other, false, now);
                        }
                    }
                }
            }
        }
    }

    [[nodiscard]] std::size_t informed_count(state::time_point now)
    {
        return static_cast<std::size_t>(
            std::count_if(vms.begin(), vms.end(),
                          [now](entry_vm& vm) { return vm.quarantine.refuses(request, now); }));
    }

    std::mt19937_64 random;
    std::vector<entry_vm> vms;
    state::duration interval{};
    std::size_t sent_count = 0;
    std::size_t request_count = 0;
    std::size_t announced_count = 0;
};

} // namespace

// Guards against VMs that keep sending a request that ends upstreams: they missed both broadcast
// trees of its evidence, or have just started, and send so seldom that no peer notices.
TEST_CASE("VMs that missed evidence have it within the contact timeout", "[quarantine][load]")
{
    for (std::size_t const count : {6U, 60U, 300U})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            lossy_fleet fleet{count, seed};
            for (std::size_t i = 0; i < count; ++i)
            {
                // A tenth of the VMs, at least one, has no evidence.
                if (i % 10 != 0)
                {
                    fleet.vms[i].quarantine.apply_update({request, state::member_key{1}, 0s},
                                                         start);
                    fleet.vms[i].quarantine.apply_update({request, state::member_key{2}, 0s},
                                                         start);
                }
            }
            fleet.run(contact_timeout);
            CAPTURE(count, seed, fleet.sent_count, fleet.request_count);
            CHECK(fleet.informed_count(start + contact_timeout) == count);
            // A few messages for each VM that lacked it, whatever the size of the fleet.
            CHECK(fleet.sent_count <= 8 * (count / 10 + 1) + 10);
        }
    }
}

// Guards against VMs that refuse a request for ten minutes though an upstream answered it: they
// were suspended as its evidence was cleared.
TEST_CASE("VMs that missed an answer refuse its request no longer than the contact timeout",
          "[quarantine][load]")
{
    for (std::size_t const count : {6U, 60U, 300U})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            lossy_fleet fleet{count, seed};
            for (std::size_t i = 0; i < count; ++i)
            {
                request_quarantine& known = fleet.vms[i].quarantine;
                known.apply_update({request, state::member_key{1}, 0s}, start);
                known.apply_update({request, state::member_key{2}, 0s}, start);
                if (i % 10 != 0)
                {
                    known.apply_update({request, {}, 0s}, start);
                }
            }
            fleet.run(contact_timeout);
            CAPTURE(count, seed, fleet.sent_count, fleet.announced_count);
            CHECK(fleet.informed_count(start + contact_timeout) == 0);
            CHECK(fleet.announced_count <= 8 * (count / 10 + 1) + 10);
        }
    }
}

TEST_CASE("a VM with the same evidence as its peers neither requests nor sends it", "[quarantine]")
{
    evidence_exchange exchange;
    for (int i = 0; i < 100; ++i)
    {
        evidence_answer const answer = exchange.received({7, 7, false, 300, 0}, start + i * 100ms);
        CHECK_FALSE((answer.should_request || answer.should_send));
    }
    // An update that is still in flight does not count as lost.
    CHECK_FALSE(exchange.received({7, 8, false, 300, 5}, start + 10s).should_request);
    CHECK(
        exchange.received({7, 8, false, 300, 5}, start + 10s + evidence_exchange::propagation_time)
            .should_request);
    CHECK(exchange.received({7, 8, true, 300, 299}, start + 11s).should_send);
}
