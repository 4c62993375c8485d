#include <plumdale/protocol/http_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <optional>
#include <utility>
#include <variant>

namespace plumdale::protocol
{
namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

/// \brief Head and body as collected by either parser.
struct parsed_message
{
    message_head head;
    std::string body;
};

/// \brief Beast's parser with all fields kept as they were sent.
template <bool IsRequest>
class message_parser : public http::basic_parser<IsRequest>
{
public:
    explicit message_parser(parsed_message& into) : into_{into} {}

private:
    void on_request_impl(http::verb /*verb*/, boost::beast::string_view method,
                         boost::beast::string_view target, int /*version*/,
                         error_code& /*error*/) override
    {
        into_.head.method = text(method);
        into_.head.target = text(target);
    }

    void on_response_impl(int code, boost::beast::string_view reason, int /*version*/,
                          error_code& /*error*/) override
    {
        into_.head.status = static_cast<unsigned>(code);
        into_.head.reason = text(reason);
    }

    void on_field_impl(http::field /*name*/, boost::beast::string_view name,
                       boost::beast::string_view value, error_code& /*error*/) override
    {
        into_.head.fields.push_back({text(name), text(value)});
    }

    void on_header_impl(error_code& /*error*/) override {}

    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& /*error*/) override
    {
    }

    std::size_t on_body_impl(boost::beast::string_view bytes, error_code& /*error*/) override
    {
        into_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, boost::beast::string_view /*extensions*/,
                              error_code& /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, boost::beast::string_view bytes,
                                   error_code& /*error*/) override
    {
        into_.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code& /*error*/) override {}

    parsed_message& into_;
};

template <class Parser>
void configure_parser(Parser& parser, http_reader::limits bounds, bool without_body)
{
    parser.eager(true);
    parser.header_limit(bounds.head_bytes);
    parser.body_limit(bounds.body_bytes);
    parser.skip(without_body);
}

} // namespace

class http_reader::implementation
{
public:
    implementation(message_role role, limits bounds) : bounds_{bounds}
    {
        if (role == message_role::request)
        {
            request_.emplace(message_);
            configure_parser(*request_, bounds, false);
        }
        else
        {
            answer_.emplace(message_);
            configure_parser(*answer_, bounds, role == message_role::answer_without_body);
        }
    }

    void append(std::string_view bytes)
    {
        begun_ = begun_ || !bytes.empty();
        unconsumed_.append(bytes);
        request_ ? feed(*request_) : feed(*answer_);
    }

    void append_eof()
    {
        if (answer_ && progress_ == read_progress::body && answer_->need_eof())
        {
            error_code error;
            answer_->put_eof(error);
            progress_ = error ? read_progress::malformed : read_progress::complete;
        }
    }

    parsed_message message_;
    std::string unconsumed_;
    read_progress progress_ = read_progress::head;
    body_framing framing_ = body_framing::none;
    bool begun_ = false;
    bool too_large_ = false;

private:
    template <class Parser>
    void feed(Parser& parser)
    {
        error_code error;
        while (!unconsumed_.empty() && !parser.is_done())
        {
            std::size_t const taken =
                parser.put(boost::asio::buffer(unconsumed_.data(), unconsumed_.size()), error);
            unconsumed_.erase(0, taken);
            if (error || taken == 0)
            {
                break;
            }
        }
        if (error && error != http::error::need_more)
        {
            too_large_ = error == http::error::header_limit || error == http::error::body_limit;
            progress_ = read_progress::malformed;
            return;
        }
        // The parser waits for the end of a chunk's head or of trailers, however long it is.
        if (!parser.is_done() && unconsumed_.size() > bounds_.head_bytes)
        {
            too_large_ = true;
            progress_ = read_progress::malformed;
            return;
        }
        if (parser.is_header_done())
        {
            set_framing(parser);
            progress_ = parser.is_done() ? read_progress::complete : read_progress::body;
        }
    }

    template <class Parser>
    void set_framing(Parser const& parser)
    {
        if (parser.chunked())
        {
            framing_ = body_framing::chunked;
        }
        else if (parser.content_length())
        {
            framing_ = body_framing::length;
        }
        else if (answer_ && answer_->need_eof())
        {
            framing_ = body_framing::until_close;
        }
    }

    limits bounds_;
    std::optional<message_parser<true>> request_;
    std::optional<message_parser<false>> answer_;
};

http_reader::http_reader(message_role role, limits bounds)
    : implementation_{std::make_unique<implementation>(role, bounds)}
{
}

http_reader::http_reader(http_reader&&) noexcept = default;
http_reader& http_reader::operator=(http_reader&&) noexcept = default;
http_reader::~http_reader() = default;

read_progress http_reader::append(std::string_view bytes)
{
    if (implementation_->progress_ != read_progress::malformed)
    {
        implementation_->append(bytes);
    }
    return implementation_->progress_;
}

read_progress http_reader::append_eof()
{
    implementation_->append_eof();
    return implementation_->progress_;
}

read_progress http_reader::progress() const noexcept
{
    return implementation_->progress_;
}

body_framing http_reader::framing() const noexcept
{
    return implementation_->framing_;
}

message_head const& http_reader::head() const noexcept
{
    return implementation_->message_.head;
}

std::string http_reader::take_body()
{
    return std::exchange(implementation_->message_.body, {});
}

std::string_view http_reader::unconsumed() const noexcept
{
    return implementation_->unconsumed_;
}

bool http_reader::has_begun() const noexcept
{
    return implementation_->begun_;
}

bool http_reader::is_too_large() const noexcept
{
    return implementation_->too_large_;
}

} // namespace plumdale::protocol
