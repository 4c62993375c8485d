#include "datagram_seal.hpp"
#include "fleet.capnp.h"

#include <plumdale/protocol/fleet_codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace plumdale::protocol
{
namespace
{

using coordination::fleet_news;

// Ten times the directory of the largest fleet, 11,000 upstreams at some 100 bytes.
constexpr std::uint64_t most_words = 11'000ULL * 100 * 10 / sizeof(capnp::word);

constexpr unsigned digest_bits = 64;
constexpr unsigned bits_per_byte = 8;

state::failure malformed(char const* detail)
{
    return {state::error_kind::invalid_request, detail};
}

void write(wire::MemberLoad::Builder to, coordination::member_load const& from)
{
    to.setMember(from.member.value);
    to.setCalls(from.calls);
    to.setTokens(from.tokens);
    to.setTokensAtEnd(from.tokens_at_end);
    to.setUnread(from.unread);
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
}

void write(wire::ReaderBeat::Builder to, coordination::reader_beat const& from)
{
    to.setReader(from.reader.value);
    to.setBeat(from.beat);
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

void write(wire::StatedLimit::Builder to, state::stated_limit const& from)
{
    to.setMember(from.member.value);
    to.setIsStated(from.per_second.has_value());
    to.setPerSecond(from.per_second.value_or(0.0));
    to.setAgeMs(milliseconds_of(from.age));
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

coordination::reader_beat read(wire::ReaderBeat::Reader from)
{
    return {state::node_id{from.getReader()}, from.getBeat()};
}

coordination::request_evidence read(wire::RequestEvidence::Reader from)
{
    return {state::request_digest{from.getRequest()}, state::member_key{from.getEnded()},
            std::chrono::milliseconds{from.getAgeMs()}};
}

state::stated_limit read(wire::StatedLimit::Reader from)
{
    return {state::member_key{from.getMember()},
            from.getIsStated() ? std::optional{from.getPerSecond()} : std::nullopt,
            std::chrono::milliseconds{from.getAgeMs()}};
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
    return member;
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

fleet_news read_news(wire::FleetNews::Reader from)
{
    fleet_news news;
    news.sender = state::node_id{from.getSender()};
    news.uptime = state::incarnation{from.getUptime()};
    news.sequence = from.getSequence();
    news.configuration = from.getConfiguration();
    news.directory = from.getDirectory();
    news.platform_age_ms = from.getPlatformAgeMs();
    news.beat = from.getBeat();
    news.spread = from.getSpread();
    news.has_range = from.getPassesOn();
    news.range = {state::node_id{from.getOrigin()}, from.getFirst(), from.getLast()};
    news.whole = from.getWhole();
    for (auto const each : from.getLoads())
    {
        news.loads.push_back(read(each));
    }
    for (auto const each : from.getMembers())
    {
        news.members.push_back(read(each));
    }
    for (auto const each : from.getReaders())
    {
        news.readers.push_back(read(each));
    }
    news.evacuations = read_evacuations(from);
    news.quarantine = from.getQuarantine();
    news.asks_evidence = from.getAsksEvidence();
    for (auto const each : from.getEvidence())
    {
        news.evidence.push_back(read(each));
    }
    for (auto const each : from.getLimits())
    {
        news.limits.push_back(read(each));
    }
    return news;
}

coordination::configuration_offer read_offer(wire::ConfigurationOffer::Reader from)
{
    auto const patch = from.getPatch().asChars();
    coordination::configuration_offer offer;
    offer.version = from.getVersion();
    offer.base = from.getBase();
    offer.digest = from.getDigest();
    offer.range = {state::node_id{from.getOrigin()}, from.getFirst(), from.getLast()};
    offer.has_range = from.getPassesOn();
    offer.patch.assign(patch.begin(), patch.size());
    return offer;
}

template <class Root, class Write>
std::string packed(Write const& write_root)
{
    capnp::MallocMessageBuilder builder;
    write_root(builder.initRoot<Root>());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    auto const bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

// Text of peers reaches Cap'n Proto's checks only here; what they refuse comes as an exception.
template <class Root, class Value, class Read>
state::result<Value> unpacked(std::string_view bytes, Read const& read_root)
{
    try
    {
        kj::ArrayPtr<kj::byte const> const data{reinterpret_cast<kj::byte const*>(bytes.data()),
                                                bytes.size()};
        kj::ArrayInputStream in{data};
        capnp::ReaderOptions options;
        options.traversalLimitInWords = most_words;
        capnp::PackedMessageReader reader{in, options};
        return read_root(reader.getRoot<Root>());
    }
    catch (kj::Exception const& /*malformed*/)
    {
        return malformed("malformed news of a peer");
    }
}

} // namespace

std::string encode(fleet_news const& news, std::string_view fleet_key)
{
    std::string const text = packed<wire::FleetNews>(
        [&news](wire::FleetNews::Builder to)
        {
            to.setSender(news.sender.value);
            to.setUptime(news.uptime.value);
            to.setSequence(news.sequence);
            to.setConfiguration(news.configuration);
            to.setDirectory(news.directory);
            to.setPlatformAgeMs(news.platform_age_ms);
            to.setWhole(news.whole);
            write_rows(to.initLoads(static_cast<unsigned int>(news.loads.size())), news.loads);
            write_rows(to.initMembers(static_cast<unsigned int>(news.members.size())),
                       news.members);
            to.setBeat(news.beat);
            to.setSpread(news.spread);
            to.setPassesOn(news.has_range);
            // Left out where they are not needed: most messages are passed on by nobody.
            if (news.has_range)
            {
                to.setOrigin(news.range.origin.value);
                to.setFirst(news.range.first);
                to.setLast(news.range.last);
            }
            write_rows(to.initReaders(static_cast<unsigned int>(news.readers.size())),
                       news.readers);
            write_evacuations(to, news.evacuations);
            to.setQuarantine(news.quarantine);
            to.setAsksEvidence(news.asks_evidence);
            write_rows(to.initEvidence(static_cast<unsigned int>(news.evidence.size())),
                       news.evidence);
            write_rows(to.initLimits(static_cast<unsigned int>(news.limits.size())), news.limits);
        });
    return sealed({text.data(), text.size()}, fleet_key);
}

state::result<fleet_news> decode_fleet_news(std::span<char const> datagram,
                                            std::string_view fleet_key)
{
    if (!is_sealed(datagram, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's news");
    }
    std::string_view const text{datagram.data() + datagram_seal_bytes,
                                datagram.size() - datagram_seal_bytes};
    return unpacked<wire::FleetNews, fleet_news>(text, read_news);
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
            to.setFirst(offer.range.first);
            to.setLast(offer.range.last);
            to.setPassesOn(offer.has_range);
            auto const patch = to.initPatch(static_cast<unsigned int>(offer.patch.size()));
            std::copy(offer.patch.begin(), offer.patch.end(), patch.asChars().begin());
        });
    return sealed({text.data(), text.size()}, fleet_key);
}

state::result<coordination::configuration_offer>
decode_configuration_offer(std::span<char const> datagram, std::string_view fleet_key)
{
    if (!is_sealed(datagram, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's configuration");
    }
    std::string_view const text{datagram.data() + datagram_seal_bytes,
                                datagram.size() - datagram_seal_bytes};
    return unpacked<wire::ConfigurationOffer, coordination::configuration_offer>(text, read_offer);
}

std::string encode(coordination::directory_copy const& copy)
{
    return packed<wire::DirectoryCopy>(
        [&copy](wire::DirectoryCopy::Builder to)
        {
            to.setRevision(copy.revision);
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
            for (auto const each : from.getMembers())
            {
                copy.members.push_back(read(each));
            }
            copy.evacuations = read_evacuations(from);
            return copy;
        });
}

std::string encode(coordination::part_digests const& digests)
{
    std::string body;
    for (std::uint64_t const digest : digests)
    {
        for (unsigned shift = 0; shift < digest_bits; shift += bits_per_byte)
        {
            body += static_cast<char>((digest >> shift) & 0xffU);
        }
    }
    return body;
}

state::result<coordination::part_digests> decode_part_digests(std::string_view body)
{
    coordination::part_digests digests{};
    constexpr std::size_t each = digest_bits / bits_per_byte;
    if (body.size() != digests.size() * each)
    {
        return malformed("digests of another length");
    }
    for (std::size_t i = 0; i < body.size(); ++i)
    {
        auto const byte = static_cast<std::uint64_t>(static_cast<unsigned char>(body[i]));
        digests[i / each] |= byte << (bits_per_byte * (i % each));
    }
    return digests;
}

} // namespace plumdale::protocol
