#include "datagram_mac.hpp"
#include "peer.capnp.h"

#include <plumdale/protocol/peer_codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <vector>

namespace plumdale::protocol
{
namespace
{

using coordination::peer_message;
using coordination::peer_message_kind;

constexpr std::size_t max_words = peer_message::max_bytes / sizeof(capnp::word);
constexpr auto last_kind = static_cast<std::uint16_t>(peer_message_kind::update);
constexpr auto last_health = static_cast<std::uint16_t>(state::member_health::dead);

[[nodiscard]] state::failure malformed(char const* detail)
{
    return {state::error_kind::invalid_request, detail};
}

// -- writing -----------------------------------------------------------------------------------

void write(wire::Member::Builder to, state::member const& from)
{
    to.setId(from.id.value);
    to.setZone(from.zone.value);
    to.setUptime(from.incarnation_number.value);
    to.setRefutation(from.refutation);
    to.setHealth(static_cast<std::uint16_t>(from.health));
    to.setDatagramAddress(from.datagrams.address);
    to.setDatagramPort(from.datagrams.port);
    to.setStreamAddress(from.streams.address);
    to.setStreamPort(from.streams.port);
}

void write(wire::LeavingMark::Builder to, coordination::leaving_mark const& from)
{
    to.setUpstream(from.upstream.value);
    to.setUptime(from.incarnation_number.value);
}

void write(wire::ContentRef::Builder to, state::content_ref const& from)
{
    to.setKey(from.key.value);
    to.setRevision(from.revision);
    to.setHash(from.hash);
}

void write(wire::LoadSummary::Builder to, coordination::load_summary const& from)
{
    to.setUpstream(from.upstream.value);
    to.setSequence(from.sequence);
    to.setAge(from.age);
    to.setBlocksTotal(from.blocks_total);
    to.setUsedShare(from.used_share);
    to.setRunning(from.running);
    to.setWaiting(from.waiting);
}

template <class List, class Values>
void write_list(List to, Values const& from)
{
    unsigned int index = 0;
    for (auto const& each : from)
    {
        write(to[index], each);
        ++index;
    }
}

void write(wire::PeerMessage::Builder to, peer_message const& from)
{
    to.setKind(static_cast<std::uint16_t>(from.kind));
    to.setCaughtUp(from.caught_up);
    to.setTargetAddress(from.target_address.address);
    to.setTargetPort(from.target_address.port);
    to.setSequence(from.sequence);
    to.setTarget(from.target.value);
    to.setStampRevision(from.stamp.revision);
    to.setStampCount(from.stamp.count);
    to.setStampOperator(from.stamp.operator_id);
    to.setStampPreset(from.stamp.preset.value);
    to.setMemberDigest(from.digests.members);
    to.setMarkDigest(from.digests.marks);
    to.setContentDigest(from.digests.content);
    to.setMembersAfter(from.members_after.value);
    write(to.initSender(), from.sender);
    if (!from.members.empty())
    {
        write_list(to.initMembers(static_cast<unsigned int>(from.members.size())), from.members);
    }
    if (!from.marks.empty())
    {
        write_list(to.initMarks(static_cast<unsigned int>(from.marks.size())), from.marks);
    }
    if (!from.content.empty())
    {
        write_list(to.initContent(static_cast<unsigned int>(from.content.size())), from.content);
    }
    if (!from.loads.empty())
    {
        write_list(to.initLoads(static_cast<unsigned int>(from.loads.size())), from.loads);
    }
}

// -- reading -----------------------------------------------------------------------------------

[[nodiscard]] state::member read(wire::Member::Reader from)
{
    return {state::node_id{from.getId()},
            state::zone_id{from.getZone()},
            state::incarnation{from.getUptime()},
            from.getRefutation(),
            static_cast<state::member_health>(std::min(from.getHealth(), last_health)),
            {from.getDatagramAddress(), from.getDatagramPort()},
            {from.getStreamAddress(), from.getStreamPort()}};
}

[[nodiscard]] coordination::leaving_mark read(wire::LeavingMark::Reader from)
{
    return {state::upstream_id{from.getUpstream()}, state::incarnation{from.getUptime()}};
}

[[nodiscard]] state::content_ref read(wire::ContentRef::Reader from)
{
    return {state::content_key{from.getKey()}, from.getRevision(), from.getHash()};
}

[[nodiscard]] coordination::load_summary read(wire::LoadSummary::Reader from)
{
    return {state::upstream_id{from.getUpstream()},
            from.getSequence(),
            from.getAge(),
            from.getBlocksTotal(),
            from.getUsedShare(),
            from.getRunning(),
            from.getWaiting()};
}

template <class List, class Value>
void read_list(List from, std::vector<Value>& to)
{
    for (auto const each : from)
    {
        to.push_back(read(each));
    }
}

// Lengths are checked first: a list of elements without size may claim any length.
[[nodiscard]] bool is_bounded(wire::PeerMessage::Reader from)
{
    return from.getMembers().size() <= peer_message::max_members &&
           from.getMarks().size() <= peer_message::max_marks &&
           from.getContent().size() <= peer_message::max_content &&
           from.getLoads().size() <= peer_message::max_loads;
}

[[nodiscard]] bool is_valid(wire::Member::Reader from)
{
    return from.getHealth() <= last_health && from.getId() != 0;
}

[[nodiscard]] bool has_known_enum_values(wire::PeerMessage::Reader from)
{
    for (auto const each : from.getMembers())
    {
        if (!is_valid(each))
        {
            return false;
        }
    }
    return from.getKind() <= last_kind && is_valid(from.getSender());
}

[[nodiscard]] state::result<peer_message> read(wire::PeerMessage::Reader from)
{
    if (!is_bounded(from))
    {
        return malformed("a list of a peer message is too long");
    }
    if (!has_known_enum_values(from))
    {
        return malformed("unknown number in a peer message");
    }
    peer_message to;
    to.kind = static_cast<peer_message_kind>(from.getKind());
    to.caught_up = from.getCaughtUp();
    to.target_address = {from.getTargetAddress(), from.getTargetPort()};
    to.sequence = from.getSequence();
    to.target = {from.getTarget()};
    to.stamp = {from.getStampRevision(), from.getStampCount(), from.getStampOperator(),
                state::preset_id{from.getStampPreset()}};
    to.digests = {from.getMemberDigest(), from.getMarkDigest(), from.getContentDigest()};
    to.members_after = {from.getMembersAfter()};
    to.sender = read(from.getSender());
    read_list(from.getMembers(), to.members);
    read_list(from.getMarks(), to.marks);
    read_list(from.getContent(), to.content);
    read_list(from.getLoads(), to.loads);
    return to;
}

} // namespace

std::string encode(peer_message const& message, std::string_view fleet_key)
{
    std::array<capnp::word, max_words> scratch{};
    capnp::MallocMessageBuilder builder{kj::arrayPtr(scratch.data(), scratch.size())};
    write(builder.initRoot<wire::PeerMessage>(), message);
    auto const segment = builder.getSegmentsForOutput()[0].asChars();
    return with_mac({segment.begin(), segment.size()}, fleet_key);
}

state::result<peer_message> decode_peer_message(std::span<char const> datagram,
                                                std::string_view fleet_key,
                                                std::span<std::string const> accepted_keys,
                                                coordination::safeguard_set safeguards)
{
    bool const has_valid_size = datagram.size() > datagram_mac_bytes &&
                                datagram.size() <= peer_message::max_bytes &&
                                (datagram.size() - datagram_mac_bytes) % sizeof(capnp::word) == 0;
    if (!has_valid_size)
    {
        return malformed("wrong size of a peer message");
    }
    std::span<char const> const text = datagram.subspan(datagram_mac_bytes);
    // The MAC is checked before parsing, so that a sender without the fleet key reaches no parser.
    bool const is_authentic = has_valid_mac(datagram, fleet_key, accepted_keys);
    if (!is_authentic && safeguards.has(coordination::safeguard::datagram_mac))
    {
        return malformed("wrong MAC of a peer message");
    }
    std::array<capnp::word, max_words> words{};
    std::memcpy(words.data(), text.data(), text.size());
    kj::ArrayPtr<capnp::word const> const segment{words.data(), text.size() / sizeof(capnp::word)};
    std::array<kj::ArrayPtr<capnp::word const>, 1> const segments{segment};
    try
    {
        capnp::SegmentArrayMessageReader reader{kj::arrayPtr(segments.data(), segments.size())};
        return read(reader.getRoot<wire::PeerMessage>());
    }
    catch (kj::Exception const& /*malformed*/)
    {
        return malformed("malformed peer message");
    }
}

} // namespace plumdale::protocol
