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

/// \brief What both parsers collect.
struct collected
{
    message_head head;
    std::string body;
};

/// \brief Beast's parser with all fields kept as they were sent.
template <bool IsRequest>
class collecting_parser : public http::basic_parser<IsRequest>
{
public:
    explicit collecting_parser(collected& into) : into_{into} {}

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

    collected& into_;
};

template <class Parser>
void prepare(Parser& parser, http_reader::limits bounds, bool without_body)
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
    implementation(message_role role, limits bounds)
    {
        if (role == message_role::request)
        {
            request_.emplace(collected_);
            prepare(*request_, bounds, false);
        }
        else
        {
            answer_.emplace(collected_);
            prepare(*answer_, bounds, role == message_role::answer_without_body);
        }
    }

    void append(std::string_view bytes)
    {
        begun_ = begun_ || !bytes.empty();
        rest_.append(bytes);
        request_ ? feed(*request_) : feed(*answer_);
    }

    void append_end()
    {
        if (answer_ && progress_ == read_progress::body && answer_->need_eof())
        {
            error_code error;
            answer_->put_eof(error);
            progress_ = error ? read_progress::malformed : read_progress::whole;
        }
    }

    collected collected_;
    std::string rest_;
    read_progress progress_ = read_progress::head;
    body_framing framing_ = body_framing::none;
    bool begun_ = false;
    bool too_large_ = false;

private:
    template <class Parser>
    void feed(Parser& parser)
    {
        error_code error;
        while (!rest_.empty() && !parser.is_done())
        {
            std::size_t const taken =
                parser.put(boost::asio::buffer(rest_.data(), rest_.size()), error);
            rest_.erase(0, taken);
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
        if (parser.is_header_done())
        {
            note_framing(parser);
            progress_ = parser.is_done() ? read_progress::whole : read_progress::body;
        }
    }

    template <class Parser>
    void note_framing(Parser const& parser)
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

    std::optional<collecting_parser<true>> request_;
    std::optional<collecting_parser<false>> answer_;
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

read_progress http_reader::append_end()
{
    implementation_->append_end();
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
    return implementation_->collected_.head;
}

std::string http_reader::take_body()
{
    return std::exchange(implementation_->collected_.body, {});
}

std::string_view http_reader::rest() const noexcept
{
    return implementation_->rest_;
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
