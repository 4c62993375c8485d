#include "datagram_mac.hpp"
#include "fleet.capnp.h"
#include "packed_message.hpp"

#include <plumdale/protocol/peer_call.hpp>

#include <algorithm>

namespace plumdale::protocol
{
namespace
{

kj::StringPtr text_of(std::string const& text)
{
    return {text.c_str(), text.size()};
}

std::string text_from(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

void write(wire::PeerCall::Builder to, peer_call const& call)
{
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(call.age).count();
    to.setConfiguration(call.configuration);
    to.setAgeMs(static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, UINT32_MAX)));
    to.setPossibleRuns(call.possible_runs);
    to.setIsCounted(call.is_counted);
    to.setMethod(text_of(call.head.method));
    to.setTarget(text_of(call.head.target));
    auto fields = to.initFields(static_cast<unsigned int>(call.head.fields.size()));
    for (unsigned int i = 0; i < fields.size(); ++i)
    {
        fields[i].setName(text_of(call.head.fields[i].name));
        fields[i].setValue(text_of(call.head.fields[i].value));
    }
    auto const body = to.initBody(static_cast<unsigned int>(call.body.size()));
    std::copy(call.body.begin(), call.body.end(), body.asChars().begin());
}

peer_call read(wire::PeerCall::Reader from)
{
    peer_call call;
    call.configuration = from.getConfiguration();
    call.age = std::chrono::milliseconds{from.getAgeMs()};
    call.possible_runs = from.getPossibleRuns();
    call.is_counted = from.getIsCounted();
    call.head.method = text_from(from.getMethod());
    call.head.target = text_from(from.getTarget());
    for (auto const each : from.getFields())
    {
        call.head.fields.push_back({text_from(each.getName()), text_from(each.getValue())});
    }
    auto const body = from.getBody().asChars();
    call.body.assign(body.begin(), body.size());
    return call;
}

} // namespace

std::string encode(peer_call const& call, std::string_view fleet_key)
{
    std::string const text =
        packed<wire::PeerCall>([&call](wire::PeerCall::Builder to) { write(to, call); });
    return with_mac({text.data(), text.size()}, fleet_key);
}

state::result<peer_call> decode_peer_call(std::span<char const> text, std::string_view fleet_key)
{
    if (!has_valid_mac(text, fleet_key, {}))
    {
        return malformed("wrong MAC of a peer's call");
    }
    std::string_view const message{text.data() + datagram_mac_bytes,
                                   text.size() - datagram_mac_bytes};
    return unpacked<wire::PeerCall, peer_call>(message, read);
}

} // namespace plumdale::protocol
