#pragma once

#include <plumdale/coordination/broadcast_tree.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/prompt_quarantine.hpp>
#include <plumdale/coordination/request_quarantine.hpp>
#include <plumdale/coordination/upstream_speeds.hpp>
#include <plumdale/coordination/upstream_suspicions.hpp>
#include <plumdale/coordination/waiting_calls.hpp>
#include <plumdale/coordination/zone_reach.hpp>
#include <plumdale/state/evacuation.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/stated_limit.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// \brief Messages between forwarding entry VMs besides membership.

namespace plumdale::coordination
{

/// \brief Progress of a reader of the platform's store: its own count of its reads.
struct reader_heartbeat
{
    state::node_id reader;
    /// \brief Grows with each read, also across restarts; zero before the first.
    std::uint64_t heartbeat = 0;
};

/// \brief One message of an entry VM to the others.
struct fleet_update
{
    /// \brief Maximum rows of a message, so that a datagram is never fragmented.
    static constexpr std::size_t max_loads = 31;
    static constexpr std::size_t max_members = 7;
    static constexpr std::size_t max_readers = 2;
    static constexpr std::size_t max_evidence = 24;
    static constexpr std::size_t max_part_evidence = 24;
    static constexpr std::size_t max_limits = 24;
    static constexpr std::size_t max_speeds = 32;
    static constexpr std::size_t max_suspicions = 32;
    static constexpr std::size_t max_zones = 8;
    static constexpr std::size_t max_waiting = 8;

    state::node_id sender;
    state::incarnation incarnation_number;
    /// \brief Grows with each message of this incarnation.
    std::uint64_t sequence = 0;
    /// \brief Version of the configuration that the sender follows; zero if none.
    std::uint64_t configuration = 0;
    /// \brief Digest of the sender's directory of upstreams.
    std::uint64_t directory = 0;
    /// \brief Number of states that this directory has had in this incarnation; zero if the sender
    /// doesn't count them. A directory may return to a former digest, but never to a former
    /// version.
    std::uint32_t directory_version = 0;
    /// \brief Age of the sender's own last read from the platform, in milliseconds.
    std::uint32_t platform_age_ms = UINT32_MAX;
    /// \brief The sender's own heartbeat; `readers` holds those of readers that it relies on.
    std::uint64_t heartbeat = 0;
    std::vector<reader_heartbeat> readers;
    /// \brief All evacuation orders that the sender knows; `as_of` is zero if it sends none.
    state::evacuations evacuations;
    /// \brief The rows are all of the sender's; otherwise only the changed ones.
    bool whole = false;
    std::vector<member_load> loads;
    /// \brief Upstreams whose change the sender has just learnt.
    std::vector<state::service_member> members;
    /// \brief Digest of the requests and parts of prompts that the sender refuses.
    std::uint64_t quarantine = 0;
    std::vector<request_evidence> evidence;
    std::vector<part_evidence> parts;
    /// \brief The sender lacks evidence and requests the receiver's.
    bool requests_evidence = false;
    std::vector<state::stated_limit> limits;
    /// \brief Refusals per second that upstreams bear, in place of requests.
    std::vector<state::stated_limit> refusal_limits;
    /// \brief What the sender observed of upstreams' speeds.
    std::vector<speed_row> speeds;
    /// \brief Upstreams that the sender has just failed to reach, or reached again.
    std::vector<suspicion_row> suspicions;
    /// \brief Zones that the sender has just failed to reach, or reached again.
    std::vector<zone_reach_row> zone_reach;
    /// \brief Calls that wait at the sender.
    std::vector<waiting_row> waiting;
    /// \brief Number of the broadcast that the receiver forwards within `range`; zero for none.
    std::uint64_t broadcast_id = 0;
    broadcast_range range;
    bool has_range = false;
};

/// \brief Upstreams that an entry VM knows, sent on request: all, or some that the requester lacks.
struct directory_copy
{
    /// \brief The platform's revision as of which the list is complete; zero when it is not.
    std::uint64_t revision = 0;
    std::vector<state::service_member> members;
    state::evacuations evacuations;
    /// \brief The sender has read a whole list, of which the requester lacks no more than these.
    bool is_rest = false;
};

} // namespace plumdale::coordination
