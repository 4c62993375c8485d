#include "caller_text.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace plumdale::transport
{

namespace http = boost::beast::http;

void append_answer(std::string& out, answer_head const& head, std::string_view body)
{
    auto const reason = http::obsolete_reason(http::int_to_status(head.status));
    out += "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out.append(reason.data(), reason.size());
    out += "\r\nContent-Type: ";
    out += head.type;
    out += "\r\nContent-Length: " + std::to_string(body.size());
    if (head.generation)
    {
        out += "\r\nPlumdale-Generation: " + protocol::to_text(head.generation);
    }
    if (head.retry_after)
    {
        out += "\r\nRetry-After: " + std::to_string(head.retry_after->count());
    }
    out += head.closing ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    out += body;
}

void append_stream_head(std::string& out, coordination::send_head const& head, bool closing)
{
    out += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
           "Transfer-Encoding: chunked\r\nPlumdale-Generation: ";
    out += protocol::to_text(head.generation);
    out += "\r\nPlumdale-Upstream: " + protocol::to_hex(head.upstream.value);
    out += closing ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
}

void append_chunk(std::string& out, std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::array<char, 16> size{};
    auto const end =
        std::to_chars(size.data(), size.data() + size.size(), text.size(), hexadecimal).ptr;
    out.append(size.data(), end);
    out += "\r\n";
    out += text;
    out += "\r\n";
}

} // namespace plumdale::transport
