#include "beast_request_view.hpp"

#include <string_view>

namespace plumdale::transport
{

namespace http = boost::beast::http;

protocol::http_request_view make_request_view(http::request<http::string_body> const& request)
{
    auto const view = [&request](auto field) -> std::string_view
    {
        auto const value = request[field];
        return {value.data(), value.size()};
    };
    protocol::http_request_view message;
    message.method = {request.method_string().data(), request.method_string().size()};
    message.target = {request.target().data(), request.target().size()};
    message.body = request.body();
    message.authorization = view(http::field::authorization);
    message.idempotency_key = view("Idempotency-Key");
    message.attempt = view("Plumdale-Attempt");
    message.generation = view("Plumdale-Generation");
    message.repeatable = view("Plumdale-Repeatable");
    message.kind = view("Plumdale-Kind");
    message.deadline_ms = view("Plumdale-Deadline-Ms");
    message.last_event_id = view("Last-Event-ID");
    return message;
}

} // namespace plumdale::transport
