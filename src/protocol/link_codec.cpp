#include "peer_link.capnp.h"

#include <plumdale/protocol/link_codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace plumdale::protocol
{
namespace
{

using coordination::relay_finished;
using coordination::relay_head;
using coordination::relay_refused;
using coordination::relay_token;
using state::result;

state::failure malformed(std::string_view reason)
{
    return {state::error_kind::invalid_request, "peer link: " + std::string{reason}};
}

capnp::Data::Reader data_of(std::string_view text)
{
    return {reinterpret_cast<kj::byte const*>(text.data()), text.size()};
}

template <std::size_t Size>
capnp::Data::Reader data_of(std::array<std::uint8_t, Size> const& bytes)
{
    return {bytes.data(), bytes.size()};
}

std::string_view view_of(capnp::Data::Reader data)
{
    return {reinterpret_cast<char const*>(data.begin()), data.size()};
}

template <std::size_t Size>
bool read_bytes(capnp::Data::Reader data, std::array<std::uint8_t, Size>& into)
{
    if (data.size() != Size)
    {
        return false;
    }
    std::copy(data.begin(), data.end(), into.begin());
    return true;
}

// -- encoding ----

void write(wire::LinkIdentity::Builder to, state::generation_id const& id)
{
    to.setOwner(id.owner.value);
    to.setUptime(id.incarnation_number.value);
    to.setSequence(id.sequence);
    to.setMac(data_of(id.mac));
}

std::int64_t milliseconds_left(state::time_point deadline, state::time_point now)
{
    if (deadline == state::never)
    {
        return -1;
    }
    auto const left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max<std::int64_t>(left.count(), 0);
}

class frame_writer
{
public:
    frame_writer(wire::LinkFrame::Builder frame, state::time_point now) : frame_{frame}, now_{now}
    {
    }

    void operator()(link_heartbeat const& /*heartbeat*/)
    {
        frame_.setHeartbeat();
    }

    void operator()(link_hello const& hello)
    {
        auto to = frame_.initHello();
        to.setNode(hello.node.value);
        to.setNonce(data_of(hello.nonce));
    }

    void operator()(state::request const& request)
    {
        auto to = frame_.initRequest();
        to.setOperation(static_cast<std::uint8_t>(request.op));
        to.setKind(static_cast<std::uint8_t>(request.kind));
        to.setRepeatable(request.repeatable);
        to.setStreamed(request.streamed);
        to.setApiKey(data_of(request.api_key));
        to.setCustomer(request.customer.value);
        to.setModel(request.model.value);
        write(to.initGeneration(), request.generation);
        to.setUpstreamHint(request.upstream_hint.value);
        to.setNextIndex(request.next_index);
        to.setKey(request.key.value);
        to.setAttempt(request.attempt);
        to.setPromptTokens(request.prompt_tokens);
        to.setMaxTokens(request.max_tokens);
        to.setPrefix({request.prefix.data(), request.prefix.size()});
        to.setDeadlineMs(milliseconds_left(request.deadline, now_));
        to.setHasBody(request.body != nullptr);
        if (request.body != nullptr)
        {
            to.setBody(data_of(*request.body));
        }
        to.setPath(request.path);
    }

    void operator()(relay_head const& head)
    {
        auto to = frame_.initHead();
        write(to.initGeneration(), head.generation);
        to.setUpstream(head.upstream.value);
    }

    void operator()(relay_token const& token)
    {
        auto to = frame_.initToken();
        write(to.initGeneration(), token.generation);
        to.setUpstream(token.upstream.value);
        to.setIndex(token.index);
        to.setText(data_of(token.text));
    }

    void operator()(relay_finished const& finished)
    {
        auto to = frame_.initFinished();
        write(to.initGeneration(), finished.generation);
        to.setCount(finished.count);
        to.setText(data_of(finished.text));
        to.setStatus(finished.status);
    }

    void operator()(relay_refused const& refused)
    {
        auto to = frame_.initRefused();
        to.setKind(static_cast<std::uint8_t>(refused.kind));
        to.setRetryAfterNs(refused.retry_after.count());
        write(to.initGeneration(), refused.generation);
        to.setNextIndex(refused.next_index);
    }

    void operator()(caller_event event)
    {
        if (event == caller_event::disconnected)
        {
            return frame_.setGone();
        }
        event == caller_event::blocked ? frame_.setBlocked() : frame_.setReady();
    }

    void operator()(state::content_ref const& wanted)
    {
        write_ref(frame_.initContentWanted(), wanted);
    }

    void operator()(link_content const& content)
    {
        auto to = frame_.initContent();
        write_ref(to.initWanted(), content.wanted);
        to.setKey(content.key);
        to.setHeld(content.text != nullptr);
        if (content.text != nullptr)
        {
            to.setText(data_of(*content.text));
        }
    }

private:
    static void write_ref(wire::LinkContentWanted::Builder to, state::content_ref const& ref)
    {
        to.setKey(ref.key.value);
        to.setRevision(ref.revision);
        to.setHash(ref.hash);
    }

    wire::LinkFrame::Builder frame_;
    state::time_point now_;
};

// -- decoding ----

bool read(wire::LinkIdentity::Reader from, state::generation_id& into)
{
    into.owner = state::node_id{from.getOwner()};
    into.incarnation_number = state::incarnation{from.getUptime()};
    into.sequence = from.getSequence();
    // An empty identity may come without a MAC.
    return read_bytes(from.getMac(), into.mac) || (!into && from.getMac().size() == 0);
}

state::content_ref read_ref(wire::LinkContentWanted::Reader from)
{
    return {state::content_key{from.getKey()}, from.getRevision(), from.getHash()};
}

result<link_body> read_hello(wire::LinkHello::Reader from)
{
    link_hello hello{state::node_id{from.getNode()}, {}};
    if (!read_bytes(from.getNonce(), hello.nonce))
    {
        return malformed("nonce");
    }
    return link_body{hello};
}

result<link_body> read_request(wire::LinkRequest::Reader from, state::time_point now)
{
    constexpr std::int64_t max_deadline_ms = 86'400'000;
    state::request request;
    if (from.getOperation() > static_cast<std::uint8_t>(state::operation::cancel) ||
        from.getKind() > static_cast<std::uint8_t>(state::work_kind::call))
    {
        return malformed("operation or kind");
    }
    request.op = static_cast<state::operation>(from.getOperation());
    request.kind = static_cast<state::work_kind>(from.getKind());
    request.repeatable = from.getRepeatable();
    request.streamed = from.getStreamed();
    if (!read_bytes(from.getApiKey(), request.api_key) ||
        !read(from.getGeneration(), request.generation))
    {
        return malformed("key or identity");
    }
    request.customer = state::customer_id{from.getCustomer()};
    request.model = state::model_id{from.getModel()};
    request.upstream_hint = state::upstream_id{from.getUpstreamHint()};
    request.next_index = from.getNextIndex();
    request.key = state::idempotency_key_id{from.getKey()};
    request.attempt = from.getAttempt();
    request.prompt_tokens = from.getPromptTokens();
    request.max_tokens = from.getMaxTokens();
    for (std::uint64_t const hash : from.getPrefix())
    {
        request.prefix.push_back(hash);
    }
    if (from.getDeadlineMs() >= 0)
    {
        request.deadline =
            now + std::chrono::milliseconds{std::min(from.getDeadlineMs(), max_deadline_ms)};
    }
    if (from.getHasBody())
    {
        request.body = std::make_shared<std::string const>(view_of(from.getBody()));
    }
    request.path = from.getPath().cStr();
    return link_body{std::move(request)};
}

result<link_body> read_head(wire::LinkHead::Reader from, state::caller_handle caller)
{
    relay_head head{caller, {}, state::upstream_id{from.getUpstream()}};
    if (!read(from.getGeneration(), head.generation))
    {
        return malformed("identity");
    }
    return link_body{head};
}

result<link_body> read_token(wire::LinkToken::Reader from, state::caller_handle caller)
{
    relay_token token{caller,
                      {},
                      state::upstream_id{from.getUpstream()},
                      from.getIndex(),
                      std::string{view_of(from.getText())}};
    if (!read(from.getGeneration(), token.generation))
    {
        return malformed("identity");
    }
    return link_body{std::move(token)};
}

result<link_body> read_finished(wire::LinkFinished::Reader from, state::caller_handle caller)
{
    relay_finished finished{
        caller, {}, from.getCount(), std::string{view_of(from.getText())}, from.getStatus()};
    if (!read(from.getGeneration(), finished.generation))
    {
        return malformed("identity");
    }
    return link_body{std::move(finished)};
}

result<link_body> read_refused(wire::LinkRefused::Reader from, state::caller_handle caller)
{
    if (from.getKind() >= static_cast<std::uint8_t>(state::error_kind::count))
    {
        return malformed("error kind");
    }
    relay_refused refused{caller,
                          static_cast<state::error_kind>(from.getKind()),
                          state::duration{from.getRetryAfterNs()},
                          {},
                          from.getNextIndex()};
    if (!read(from.getGeneration(), refused.generation))
    {
        return malformed("identity");
    }
    return link_body{refused};
}

link_body read_content(wire::LinkContent::Reader from)
{
    link_content content{read_ref(from.getWanted()), from.getKey().cStr(), nullptr};
    if (from.getHeld())
    {
        content.text = std::make_shared<std::string const>(view_of(from.getText()));
    }
    return content;
}

result<link_body> read_body(wire::LinkFrame::Reader frame, state::time_point now)
{
    state::caller_handle const caller{frame.getExchange()};
    switch (frame.which())
    {
    case wire::LinkFrame::HELLO:
        return read_hello(frame.getHello());
    case wire::LinkFrame::HEARTBEAT:
        return link_body{link_heartbeat{}};
    case wire::LinkFrame::REQUEST:
        return read_request(frame.getRequest(), now);
    case wire::LinkFrame::HEAD:
        return read_head(frame.getHead(), caller);
    case wire::LinkFrame::TOKEN:
        return read_token(frame.getToken(), caller);
    case wire::LinkFrame::FINISHED:
        return read_finished(frame.getFinished(), caller);
    case wire::LinkFrame::REFUSED:
        return read_refused(frame.getRefused(), caller);
    case wire::LinkFrame::GONE:
        return link_body{caller_event::disconnected};
    case wire::LinkFrame::BLOCKED:
        return link_body{caller_event::blocked};
    case wire::LinkFrame::READY:
        return link_body{caller_event::ready};
    case wire::LinkFrame::CONTENT_WANTED:
        return link_body{read_ref(frame.getContentWanted())};
    case wire::LinkFrame::CONTENT:
        return read_content(frame.getContent());
    }
    return malformed("unknown kind of frame");
}

} // namespace

std::string encode_frame(link_frame const& frame, state::time_point now)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::LinkFrame>();
    root.setExchange(frame.exchange);
    std::visit(frame_writer{root, now}, frame.body);
    auto const words = capnp::messageToFlatArray(message);
    auto const bytes = words.asBytes();
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

state::result<link_frame> decode_frame(std::string_view bytes, state::time_point now)
{
    constexpr std::size_t word_bytes = sizeof(capnp::word);
    if (bytes.empty() || bytes.size() % word_bytes != 0)
    {
        return malformed("length");
    }
    auto words = kj::heapArray<capnp::word>(bytes.size() / word_bytes);
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    link_frame frame;
    try
    {
        capnp::FlatArrayMessageReader reader{words};
        auto const root = reader.getRoot<wire::LinkFrame>();
        frame.exchange = root.getExchange();
        auto body = read_body(root, now);
        if (!body)
        {
            return body.error();
        }
        frame.body = std::move(body.value());
    }
    // Cap'n Proto reports pointers out of bounds and messages cut short by exceptions.
    catch (kj::Exception const& exception)
    {
        return malformed(exception.getDescription().cStr());
    }
    return frame;
}

} // namespace plumdale::protocol
