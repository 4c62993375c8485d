#include "http_client.hpp"

#include <plumdale/protocol/answer_status.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace plumdale::plumctl
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Bytes that are read ahead of the parser. It waits for the end of a chunk's line or of trailers,
// however long it is.
constexpr std::size_t max_unparsed_bytes = 128ULL * 1024;
/// \brief Bytes of a body that is kept until it is whole; a streamed one has no bound.
constexpr std::size_t max_kept_bytes = 16ULL * 1024 * 1024;

state::result<tcp::endpoint> parse_entry(std::string const& entry)
{
    std::size_t const colon = entry.rfind(':');
    error_code failed;
    auto const address = asio::ip::make_address(entry.substr(0, colon), failed);
    int const port = colon == std::string::npos ? 0 : std::atoi(entry.c_str() + colon + 1);
    if (failed || port <= 0 || port > 65'535)
    {
        return state::failure{state::error_kind::invalid_request, entry + " is no IP:PORT"};
    }
    return tcp::endpoint{address, static_cast<std::uint16_t>(port)};
}

http::request<http::string_body> make_request(http_call const& outgoing_call,
                                              std::string const& host)
{
    http::request<http::string_body> request{http::string_to_verb(outgoing_call.method),
                                             outgoing_call.target, 11};
    request.set(http::field::host, host);
    request.set(http::field::connection, "close");
    for (auto const& [name, value] : outgoing_call.headers)
    {
        request.set(name, value);
    }
    request.body() = outgoing_call.body;
    request.prepare_payload();
    return request;
}

/// One exchange, run on its own event loop so that each step has a timeout.
class exchange
{
public:
    exchange(std::chrono::milliseconds idle_timeout, head_handler const& on_head,
             body_handler const& on_body)
        : stream_{io_}, idle_timeout_{idle_timeout}, on_head_{on_head}, on_body_{on_body}
    {
        make_parser();
    }

    error_code run(tcp::endpoint const& to, http::request<http::string_body> const& request)
    {
        stream_.expires_after(idle_timeout_);
        stream_.async_connect(to,
                              [&](error_code failed)
                              {
                                  if (!record_result(failed))
                                  {
                                      return;
                                  }
                                  http::async_write(stream_, request,
                                                    [this](error_code broken, std::size_t)
                                                    {
                                                        if (record_result(broken))
                                                        {
                                                            read_head();
                                                        }
                                                    });
                              });
        io_.run();
        return error_;
    }

    http_answer answer;

private:
    bool record_result(error_code failed)
    {
        error_ = failed;
        stream_.expires_after(idle_timeout_);
        return !failed;
    }

    void make_parser()
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
    }

    void read_head()
    {
        http::async_read_header(stream_, buffer_, *parser_,
                                [this](error_code failed, std::size_t)
                                {
                                    if (record_result(failed))
                                    {
                                        take_head();
                                    }
                                });
    }

    void take_head()
    {
        // Beast takes any three digits for the status of the answer.
        switch (protocol::kind_of_status(parser_->get().result_int()))
        {
        case protocol::status_kind::none:
            error_ = http::error::bad_status;
            return;
        case protocol::status_kind::interim:
            return skip_interim_answer();
        case protocol::status_kind::final_answer:
            return take_final_head();
        }
    }

    void skip_interim_answer()
    {
        if (++interim_answers_ > protocol::max_interim_answers)
        {
            error_ = http::error::bad_status;
            return;
        }
        make_parser();
        read_head();
    }

    void take_final_head()
    {
        answer.status = parser_->get().result_int();
        for (auto const& field : parser_->get())
        {
            std::string name{field.name_string()};
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            answer.headers.emplace_back(std::move(name), std::string{field.value()});
        }
        on_head_(answer);
        read_body();
    }

    void read_body()
    {
        if (parser_->is_done())
        {
            return;
        }
        parser_->get().body().data = read_buffer_.data();
        parser_->get().body().size = read_buffer_.size();
        http::async_read_some(stream_, buffer_, *parser_,
                              [this](error_code failed, std::size_t)
                              {
                                  if (!deliver_part())
                                  {
                                      error_ = http::error::body_limit;
                                      return;
                                  }
                                  bool const more = failed == http::error::need_buffer || !failed;
                                  error_ = more ? error_code{} : failed;
                                  stream_.expires_after(idle_timeout_);
                                  if (more)
                                  {
                                      read_body();
                                  }
                              });
    }

    /// \brief Returns false if the body is too large to be kept.
    [[nodiscard]] bool deliver_part()
    {
        std::string_view const part{read_buffer_.data(),
                                    read_buffer_.size() - parser_->get().body().size};
        if (answer.status == 200 && on_body_)
        {
            on_body_(part);
            return true;
        }
        answer.body += part;
        return answer.body.size() <= max_kept_bytes;
    }

    asio::io_context io_;
    beast::tcp_stream stream_;
    std::chrono::milliseconds idle_timeout_;
    head_handler const& on_head_;
    body_handler const& on_body_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::uint32_t interim_answers_ = 0;
    std::array<char, 8'192> read_buffer_{};
    error_code error_;
};

} // namespace

std::string_view http_answer::header(std::string_view name) const noexcept
{
    for (auto const& [known, value] : headers)
    {
        if (known == name)
        {
            return value;
        }
    }
    return {};
}

http_client::http_client(std::string entry, std::chrono::milliseconds idle_timeout)
    : entry_{std::move(entry)}, idle_timeout_{idle_timeout}
{
}

state::result<http_answer> http_client::call(http_call const& outgoing_call) const
{
    return stream(outgoing_call, [](http_answer const&) {}, {});
}

state::result<http_answer> http_client::stream(http_call const& outgoing_call,
                                               head_handler const& on_head,
                                               body_handler const& on_body) const
{
    auto const endpoint = parse_entry(entry_);
    if (!endpoint)
    {
        return endpoint.error();
    }
    exchange one{idle_timeout_, on_head, on_body};
    error_code const failed = one.run(endpoint.value(), make_request(outgoing_call, entry_));
    if (failed)
    {
        return state::failure{state::error_kind::connection_failed,
                              entry_ + ": " + failed.message()};
    }
    return std::move(one.answer);
}

std::string const& http_client::entry() const noexcept
{
    return entry_;
}

state::failure failure_of(http_answer const& answer)
{
    boost::system::error_code malformed;
    auto const body = boost::json::parse(answer.body, malformed);
    if (!malformed && body.is_object())
    {
        auto const* error = body.as_object().if_contains("error");
        if (error != nullptr && error->is_object())
        {
            auto const* kind = error->as_object().if_contains("kind");
            auto const* detail = error->as_object().if_contains("detail");
            auto const* row = kind != nullptr && kind->is_string()
                                  ? state::find_answer(kind->as_string())
                                  : nullptr;
            if (row != nullptr)
            {
                return {row->kind, detail != nullptr && detail->is_string()
                                       ? std::string{detail->as_string()}
                                       : std::string{}};
            }
        }
    }
    return {state::error_kind::internal,
            "status " + std::to_string(answer.status) + " without a known error"};
}

} // namespace plumdale::plumctl
