#pragma once

#include <plumdale/coordination/safeguards.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Settings of one entry VM, fixed for an incarnation.

namespace plumdale::coordination
{

/// \brief Settings of `entry_node`. Durations are of the injected clock.
struct node_settings
{
    /// \brief This entry VM: id, zone, incarnation, endpoints.
    state::member self;
    /// \brief Secret shared by the fleet: signs identities and datagrams. At least 16 bytes.
    std::string fleet_key;
    /// \brief Further keys accepted for datagrams and identities while the fleet key is changed.
    std::vector<std::string> accepted_fleet_keys;
    /// \brief Datagram endpoints to join through.
    std::vector<state::endpoint> seeds;
    /// \brief Request threads.
    std::uint32_t shards = 1;
    state::duration configuration_interval = std::chrono::seconds{1};
    state::duration vm_list_interval = std::chrono::seconds{1};
    state::duration load_interval = std::chrono::milliseconds{500};
    /// \brief Longest wait for the first token of a stream before it counts as silent.
    state::duration first_token_timeout = std::chrono::seconds{30};
    /// \brief Longest silence between tokens before a stream is resumed on a new connection.
    state::duration token_timeout = std::chrono::seconds{3};
    /// \brief How long a finished generation is remembered.
    state::duration remember_finished = std::chrono::minutes{10};
    /// \brief Most finished generations remembered by one shard.
    std::uint32_t remember_count = 20'000;
    // -- membership ------------------------------------------------------------
    /// \brief Each round probes a few members; two failed rounds in a row raise a suspicion.
    state::duration probe_interval = std::chrono::milliseconds{500};
    /// \brief How long to wait for a direct probe's answer before peers are asked to probe too.
    state::duration probe_timeout = std::chrono::milliseconds{200};
    /// \brief How long a suspected member has to refute.
    state::duration suspicion_time = std::chrono::milliseconds{1500};
    /// \brief How long a dead member is remembered.
    state::duration remember_dead = std::chrono::minutes{10};
    // -- presets ------------------------------------------------------------
    /// \brief Entry VMs of a zone that watch the configuration service.
    std::uint32_t readers_per_zone = 2;
    /// \brief How long one watch request waits at the service.
    state::duration watch_wait = std::chrono::seconds{20};
    /// \brief An operator's switch is accepted once this many other entry VMs hold it: as many as
    /// may be lost at once.
    std::uint32_t switch_holders = 2;
    /// \brief A switch is accepted only once other entry VMs in this many zones hold it.
    std::uint32_t switch_zones = 1;
    /// \brief Least wait before a switch is accepted, so that concurrent switches reach each other
    /// first.
    state::duration switch_settle = std::chrono::milliseconds{300};
    /// \brief Longest wait for acceptance.
    state::duration switch_wait = std::chrono::seconds{5};
    /// \brief How long a node waits for peers after a start or pause before it relies on the
    /// service alone.
    state::duration catch_up_wait = std::chrono::seconds{3};
    /// \brief How often a node that isn't a reader reads the service itself.
    state::duration idle_read_interval = std::chrono::minutes{1};
    // -- drain ------------------------------------------------------------
    /// \brief A drain ends after this time at the latest, whatever is still in flight.
    state::duration drain_limit = std::chrono::minutes{10};
    /// \brief A drain lasts at least this long, so that the balancer sees the health check fail.
    state::duration drain_settle = std::chrono::milliseconds{500};
    // -- load ------------------------------------------------------------
    /// \brief Fleets with at most this many engines read the load of all of them at every node.
    std::uint32_t read_all_engines = 64;
    /// \brief In larger fleets, how often a node reads the engines that it is responsible for.
    state::duration subset_load_interval = std::chrono::seconds{4};
    /// \brief Nodes of a zone that read one engine's load in larger fleets.
    std::uint32_t readers_per_engine = 1;
    /// \brief Bytes a second that a node may spend on reading the VM list.
    std::uint32_t vm_list_bytes_per_second = 4'000;
    // -- orders ------------------------------------------------------------
    /// \brief Weight loads that the weight store serves at once, over the whole fleet.
    std::uint32_t weight_loads_at_once = 2;
    /// \brief How long one such load takes.
    state::duration weight_load_time = std::chrono::seconds{10};
    /// \brief How often an engine's order is read back.
    state::duration order_interval = std::chrono::seconds{10};
    // -- requests ------------------------------------------------------------
    /// \brief How long after a first attempt a caller may repeat a key. A key is remembered for
    /// this long, and a VM without memory of that time refuses repeats for as long.
    state::duration key_window = std::chrono::minutes{10};
    /// \brief Most keys remembered by one shard.
    std::uint32_t key_count = 50'000;
    /// \brief How long a home VM has to be dead before its keys pass to the next; longer than any
    /// member takes to detect that it is cut off.
    state::duration key_takeover_delay = std::chrono::seconds{5};
    /// \brief How long a reserved identity may wait for its run.
    state::duration reservation_time = std::chrono::minutes{10};
    /// \brief How long a caller's buffer may stay full before the caller is disconnected.
    state::duration slow_reader_time = std::chrono::seconds{30};
    /// \brief How long repeatable work runs on for a disconnected streaming caller that may attach
    /// again.
    state::duration reattach_time = std::chrono::seconds{5};
    /// \brief A deadline handled later than this means that the process was paused.
    state::duration pause_tolerance = std::chrono::seconds{1};
    /// \brief Longest wait for fresh state after a pause before anything is dispatched.
    state::duration pause_hold = std::chrono::seconds{1};
    /// \brief Most consecutive resumptions of one stream without a token.
    std::uint32_t resume_count = 3;
    /// \brief Most upstreams asked for a generation whose owner died and whose upstream is not
    /// known.
    std::uint32_t probe_count = 4;
    /// \brief All on; only tests and the fault runner turn one off.
    safeguard_set safeguards;
};

} // namespace plumdale::coordination
