#include "datagram_mac.hpp"
#include "fleet.capnp.h"
#include "packed_message.hpp"

#include <plumdale/protocol/fleet_codec.hpp>

#include <algorithm>

namespace plumdale::protocol
{
namespace
{

using coordination::fleet_update;

void write(wire::MemberLoad::Builder to, coordination::member_load const& from)
{
    to.setMember(from.member.value);
    to.setCalls(from.calls);
    to.setTokens(from.tokens);
    to.setTokensAtEnd(from.tokens_at_end);
    to.setUnread(from.pending_prefill_tokens);
}

void write(wire::ServiceMember::Builder to, state::service_member const& from)
{
    to.setName(from.name);
    to.setService(from.service);
    to.setZone(from.zone);
    to.setAddress(from.address.address);
    to.setPort(from.address.port);
    to.setLeaving(from.leaving);
    to.setListed(from.listed);
    to.setSlots(from.slots);
    to.setRevision(from.revision);
    to.setColdMs(from.cold_ms);
    to.setStarted(from.started.value);
    to.setUsable(from.usable);
    to.setStartConfirmed(from.start_confirmed);
}

void write(wire::ReaderBeat::Builder to, coordination::reader_heartbeat const& from)
{
    to.setReader(from.reader.value);
    to.setBeat(from.heartbeat);
}

void write(wire::Evacuation::Builder to, state::evacuation const& from)
{
    to.setZone(from.zone.value);
    to.setRevision(from.revision);
}

std::uint32_t milliseconds_of(state::duration age)
{
    auto const whole = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(whole, 0, UINT32_MAX));
}

void write(wire::RequestEvidence::Builder to, coordination::request_evidence const& from)
{
    to.setRequest(from.request.value);
    to.setEnded(from.ended.value);
    to.setAgeMs(milliseconds_of(from.age));
}

void write(wire::PartEvidence::Builder to, coordination::part_evidence const& from)
{
    to.setPart(from.part.value);
    to.setCrashed(from.crashed.value);
    to.setRequest(from.request.value);
    to.setAgeMs(milliseconds_of(from.age));
    to.setIdleMs(milliseconds_of(from.idle));
    to.setIsTrial(from.is_trial);
}

void write(wire::StatedLimit::Builder to, state::stated_limit const& from)
{
    to.setMember(from.member.value);
    to.setIsStated(from.per_second.has_value());
    to.setPerSecond(from.per_second.value_or(0.0));
    to.setAgeMs(milliseconds_of(from.age));
}

void write(wire::UpstreamSpeed::Builder to, coordination::speed_row const& from)
{
    to.setMember(from.member.value);
    to.setPrefill(from.prefill);
    to.setPrefillWeight(from.prefill_weight);
    to.setPace(from.pace);
    to.setPaceWeight(from.pace_weight);
}

void write(wire::UpstreamSuspicion::Builder to, coordination::suspicion_row const& from)
{
    to.setMember(from.member.value);
    to.setKind(static_cast<std::uint8_t>(from.kind));
    to.setAgeMs(milliseconds_of(from.age));
}

void write(wire::ZoneReach::Builder to, coordination::zone_reach_row const& from)
{
    to.setZone(from.zone.value);
    to.setIsReached(from.is_reached);
    to.setAgeMs(milliseconds_of(from.age));
}

void write(wire::WaitingCalls::Builder to, coordination::waiting_row const& from)
{
    to.setService(from.service.value);
    to.setRank(from.rank);
    to.setCalls(from.calls);
    to.setOldestMs(milliseconds_of(from.oldest));
}

template <class List, class Values>
void write_rows(List to, Values const& from)
{
    unsigned int index = 0;
    for (auto const& each : from)
    {
        write(to[index], each);
        ++index;
    }
}

coordination::member_load read(wire::MemberLoad::Reader from)
{
    return {state::member_key{from.getMember()}, from.getCalls(), from.getTokens(),
            from.getTokensAtEnd(), from.getUnread()};
}

coordination::reader_heartbeat read(wire::ReaderBeat::Reader from)
{
    return {state::node_id{from.getReader()}, from.getBeat()};
}

coordination::request_evidence read(wire::RequestEvidence::Reader from)
{
    return {state::request_digest{from.getRequest()}, state::member_key{from.getEnded()},
            std::chrono::milliseconds{from.getAgeMs()}};
}

coordination::part_evidence read(wire::PartEvidence::Reader from)
{
    return {state::prompt_part{from.getPart()},          state::member_key{from.getCrashed()},
            state::request_digest{from.getRequest()},    std::chrono::milliseconds{from.getAgeMs()},
            std::chrono::milliseconds{from.getIdleMs()}, from.getIsTrial()};
}

state::stated_limit read(wire::StatedLimit::Reader from)
{
    return {state::member_key{from.getMember()},
            from.getIsStated() ? std::optional{from.getPerSecond()} : std::nullopt,
            std::chrono::milliseconds{from.getAgeMs()}};
}

coordination::speed_row read(wire::UpstreamSpeed::Reader from)
{
    return {state::member_key{from.getMember()}, from.getPrefill(), from.getPrefillWeight(),
            from.getPace(), from.getPaceWeight()};
}

// A finding of a kind that a newer version adds is none that this version can use.
std::optional<coordination::suspicion_row> read(wire::UpstreamSuspicion::Reader from)
{
    constexpr auto last = static_cast<std::uint8_t>(coordination::suspicion_kind::timed_out);
    if (from.getKind() > last)
    {
        return std::nullopt;
    }
    return coordination::suspicion_row{state::member_key{from.getMember()},
                                       static_cast<coordination::suspicion_kind>(from.getKind()),
                                       std::chrono::milliseconds{from.getAgeMs()}};
}

coordination::zone_reach_row read(wire::ZoneReach::Reader from)
{
    return {state::zone_id{from.getZone()}, from.getIsReached(),
            std::chrono::milliseconds{from.getAgeMs()}};
}

coordination::waiting_row read(wire::WaitingCalls::Reader from)
{
    return {state::service_key{from.getService()}, from.getRank(), from.getCalls(),
            std::chrono::milliseconds{from.getOldestMs()}};
}

state::service_member read(wire::ServiceMember::Reader from)
{
    state::service_member member;
    member.name = from.getName().cStr();
    member.service = from.getService().cStr();
    member.zone = from.getZone().cStr();
    member.address = {from.getAddress(), from.getPort()};
    member.leaving = from.getLeaving();
    member.listed = from.getListed();
    member.slots = from.getSlots();
    member.revision = from.getRevision();
    member.cold_ms = from.getColdMs();
    member.started = state::incarnation{from.getStarted()};
    member.usable = from.getUsable();
    member.start_confirmed = from.getStartConfirmed();
    return member;
}

// A row without a place would have calls sent to no upstream, or to this VM itself.
std::vector<state::service_member> read_complete(capnp::List<wire::ServiceMember>::Reader from)
{
    std::vector<state::service_member> members;
    for (auto const each : from)
    {
        state::service_member member = read(each);
        if (state::is_complete(member))
        {
            members.push_back(std::move(member));
        }
    }
    return members;
}

template <class Message>
void write_evacuations(Message to, state::evacuations const& from)
{
    to.setEvacuationsAsOf(from.as_of);
    if (!from.in_force.empty())
    {
        write_rows(to.initEvacuations(static_cast<unsigned int>(from.in_force.size())),
                   from.in_force);
    }
}

template <class Message>
state::evacuations read_evacuations(Message from)
{
    state::evacuations read;
    read.as_of = from.getEvacuationsAsOf();
    for (auto const each : from.getEvacuations())
    {
        read.in_force.push_back({state::zone_id{each.getZone()}, each.getRevision()});
    }
    return read;
}

void read_load_parts(wire::FleetNews::Reader from, fleet_update& update)
{
    for (auto const each : from.getSpeeds())
    {
        update.speeds.push_back(read(each));
    }
    for (auto const each : from.getSuspicions())
    {
        if (auto const row = read(each))
        {
            update.suspicions.push_back(*row);
        }
    }
    for (auto const each : from.getZoneReach())
    {
        update.zone_reach.push_back(read(each));
    }
    for (auto const each : from.getWaiting())
    {
        update.waiting.push_back(read(each));
    }
}

fleet_update read_update(wire::FleetNews::Reader from)
{
    fleet_update update;
    update.sender = state::node_id{from.getSender()};
    update.incarnation_number = state::incarnation{from.getUptime()};
    update.sequence = from.getSequence();
    update.configuration = from.getConfiguration();
    update.directory = from.getDirectory();
    update.directory_version = from.getDirectoryVersion();
    update.platform_age_ms = from.getPlatformAgeMs();
    update.heartbeat = from.getBeat();
    update.broadcast_id = from.getSpread();
    update.has_range = from.getPassesOn();
    update.range = {state::node_id{from.getOrigin()}, from.getFirst(), from.getLast()};
    update.whole = from.getWhole();
    for (auto const each : from.getLoads())
    {
        update.loads.push_back(read(each));
    }
    update.members = read_complete(from.getMembers());
    for (auto const each : from.getReaders())
    {
        update.readers.push_back(read(each));
    }
    update.evacuations = read_evacuations(from);
    update.quarantine = from.getQuarantine();
    update.requests_evidence = from.getAsksEvidence();
    for (auto const each : from.getEvidence())
    {
        update.evidence.push_back(read(each));
    }
    for (auto const each : from.getParts())
    {
        update.parts.push_back(read(each));
    }
    for (auto const each : from.getLimits())
    {
        update.limits.push_back(read(each));
    }
    for (auto const each : from.getRefusalLimits())
    {
        update.refusal_limits.push_back(read(each));
    }
    read_load_parts(from, update);
    return update;
}

coordination::configuration_offer read_offer(wire::ConfigurationOffer::Reader from)
{
    auto const patch = from.getPatch().asChars();
    coordination::configuration_offer offer;
    offer.version = from.getVersion();
    offer.base = from.getBase();
    offer.digest = from.getDigest();
    offer.range = {state::node_id{from.getOrigin()}, from.getFirst(), from.getLast()};
    offer.tree = from.getTree();
    offer.has_range = from.getPassesOn();
    offer.patch.assign(patch.begin(), patch.size());
    return offer;
}

// Empty lists are omitted, so that a message without these rows has the size that it had before.
void write_load_parts(wire::FleetNews::Builder to, fleet_update const& update)
{
    if (!update.speeds.empty())
    {
        write_rows(to.initSpeeds(static_cast<unsigned int>(update.speeds.size())), update.speeds);
    }
    if (!update.suspicions.empty())
    {
        write_rows(to.initSuspicions(static_cast<unsigned int>(update.suspicions.size())),
                   update.suspicions);
    }
    if (!update.zone_reach.empty())
    {
        write_rows(to.initZoneReach(static_cast<unsigned int>(update.zone_reach.size())),
                   update.zone_reach);
    }
    if (!update.waiting.empty())
    {
        write_rows(to.initWaiting(static_cast<unsigned int>(update.waiting.size())),
                   update.waiting);
    }
}

} // namespace

std::string encode(fleet_update const& update, std::string_view fleet_key)
{
    std::string const text = packed<wire::FleetNews>(
        [&update](wire::FleetNews::Builder to)
        {
            to.setSender(update.sender.value);
            to.setUptime(update.incarnation_number.value);
            to.setSequence(update.sequence);
            to.setConfiguration(update.configuration);
            to.setDirectory(update.directory);
            to.setDirectoryVersion(update.directory_version);
            to.setPlatformAgeMs(update.platform_age_ms);
            to.setWhole(update.whole);
            write_rows(to.initLoads(static_cast<unsigned int>(update.loads.size())), update.loads);
            write_rows(to.initMembers(static_cast<unsigned int>(update.members.size())),
                       update.members);
            to.setBeat(update.heartbeat);
            to.setSpread(update.broadcast_id);
            to.setPassesOn(update.has_range);
            // Omitted where not needed: most messages are not passed on.
            // Findings are weighed by who made them, also where nothing is to be forwarded.
            if (update.has_range || !update.suspicions.empty() || !update.zone_reach.empty())
            {
                to.setOrigin(update.range.origin.value);
            }
            if (update.has_range)
            {
                to.setFirst(update.range.first);
                to.setLast(update.range.last);
            }
            write_rows(to.initReaders(static_cast<unsigned int>(update.readers.size())),
                       update.readers);
            write_evacuations(to, update.evacuations);
            to.setQuarantine(update.quarantine);
            to.setAsksEvidence(update.requests_evidence);
            write_rows(to.initEvidence(static_cast<unsigned int>(update.evidence.size())),
                       update.evidence);
            write_rows(to.initLimits(static_cast<unsigned int>(update.limits.size())),
                       update.limits);
            write_rows(
                to.initRefusalLimits(static_cast<unsigned int>(update.refusal_limits.size())),
                update.refusal_limits);
            if (!update.parts.empty())
            {
                write_rows(to.initParts(static_cast<unsigned int>(update.parts.size())),
                           update.parts);
            }
            write_load_parts(to, update);
        });
    return with_mac({text.data(), text.size()}, fleet_key);
}

state::result<fleet_update> decode_fleet_update(std::span<char const> datagram,
                                                std::string_view fleet_key)
{
    if (!has_valid_mac(datagram, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's news");
    }
    std::string_view const text{datagram.data() + datagram_mac_bytes,
                                datagram.size() - datagram_mac_bytes};
    return unpacked<wire::FleetNews, fleet_update>(text, read_update);
}

std::string encode(coordination::configuration_offer const& offer, std::string_view fleet_key)
{
    std::string const text = packed<wire::ConfigurationOffer>(
        [&offer](wire::ConfigurationOffer::Builder to)
        {
            to.setVersion(offer.version);
            to.setBase(offer.base);
            to.setDigest(offer.digest);
            to.setOrigin(offer.range.origin.value);
            to.setTree(offer.tree);
            to.setFirst(offer.range.first);
            to.setLast(offer.range.last);
            to.setPassesOn(offer.has_range);
            auto const patch = to.initPatch(static_cast<unsigned int>(offer.patch.size()));
            std::copy(offer.patch.begin(), offer.patch.end(), patch.asChars().begin());
        });
    return with_mac({text.data(), text.size()}, fleet_key);
}

state::result<coordination::configuration_offer>
decode_configuration_offer(std::span<char const> datagram, std::string_view fleet_key)
{
    if (!has_valid_mac(datagram, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's configuration");
    }
    std::string_view const text{datagram.data() + datagram_mac_bytes,
                                datagram.size() - datagram_mac_bytes};
    return unpacked<wire::ConfigurationOffer, coordination::configuration_offer>(text, read_offer);
}

std::string encode(coordination::directory_copy const& copy)
{
    return packed<wire::DirectoryCopy>(
        [&copy](wire::DirectoryCopy::Builder to)
        {
            to.setRevision(copy.revision);
            to.setIsRest(copy.is_rest);
            write_rows(to.initMembers(static_cast<unsigned int>(copy.members.size())),
                       copy.members);
            write_evacuations(to, copy.evacuations);
        });
}

state::result<coordination::directory_copy> decode_directory_copy(std::string_view body)
{
    return unpacked<wire::DirectoryCopy, coordination::directory_copy>(
        body,
        [](wire::DirectoryCopy::Reader from)
        {
            coordination::directory_copy copy;
            copy.revision = from.getRevision();
            copy.is_rest = from.getIsRest();
            copy.members = read_complete(from.getMembers());
            copy.evacuations = read_evacuations(from);
            return copy;
        });
}

} // namespace plumdale::protocol
