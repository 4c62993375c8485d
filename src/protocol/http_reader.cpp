#include <plumdale/protocol/http_reader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace plumdale::protocol
{
namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;

/// \brief Fields of an answer's head. Each takes many times its bytes while its call lasts, and a
/// VM holds heads of many upstreams.
constexpr std::size_t max_answer_fields = 256;

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

/// \brief Beast's parser of heads, with all fields kept as they were sent. It reads no body.
template <bool IsRequest>
class head_parser : public http::basic_parser<IsRequest>
{
public:
    head_parser(message_head& into, std::uint32_t head_bytes) : into_{into}
    {
        this->eager(true);
        this->skip(true);
        this->header_limit(head_bytes);
    }

private:
    void on_request_impl(http::verb /*verb*/, boost::beast::string_view method,
                         boost::beast::string_view target, int /*version*/,
                         error_code& /*error*/) override
    {
        into_.method = text(method);
        into_.target = text(target);
    }

    void on_response_impl(int code, boost::beast::string_view reason, int /*version*/,
                          error_code& /*error*/) override
    {
        into_.status = static_cast<unsigned>(code);
        into_.reason = text(reason);
    }

    void on_field_impl(http::field /*name*/, boost::beast::string_view name,
                       boost::beast::string_view value, error_code& error) override
    {
        if (!IsRequest && into_.fields.size() == max_answer_fields)
        {
            error = http::error::header_limit;
            return;
        }
        into_.fields.push_back({text(name), text(value)});
    }

    void on_header_impl(error_code& /*error*/) override {}

    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           error_code& /*error*/) override
    {
    }

    std::size_t on_body_impl(boost::beast::string_view bytes, error_code& /*error*/) override
    {
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, boost::beast::string_view /*extensions*/,
                              error_code& /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, boost::beast::string_view bytes,
                                   error_code& /*error*/) override
    {
        return bytes.size();
    }

    void on_finish_impl(error_code& /*error*/) override {}

    message_head& into_;
};

} // namespace

class http_reader::implementation
{
public:
    implementation(message_role role, limits bounds)
        : bounds_{bounds}, head_framing_{role}, chunks_{bounds.body_bytes, bounds.head_bytes},
          body_left_{bounds.body_bytes}
    {
        if (role == message_role::request)
        {
            request_.emplace(head_, bounds.head_bytes);
        }
        else
        {
            answer_.emplace(head_, bounds.head_bytes);
        }
    }

    void append(std::string_view bytes)
    {
        begun_ = begun_ || !bytes.empty();
        if (progress_ != read_progress::head)
        {
            return read_body(bytes);
        }
        unconsumed_.append(bytes);
        request_ ? read_head(*request_) : read_head(*answer_);
    }

    void append_eof()
    {
        if (progress_ == read_progress::body && framing_ == body_framing::until_close)
        {
            progress_ = read_progress::complete;
        }
    }

    message_head head_;
    std::string body_;
    std::string unconsumed_;
    read_progress progress_ = read_progress::head;
    body_framing framing_ = body_framing::none;
    bool begun_ = false;
    bool too_large_ = false;

private:
    void fail(bool too_large)
    {
        too_large_ = too_large;
        progress_ = read_progress::malformed;
    }

    // -- head -------------------------------------------------------------------------------------

    template <class Parser>
    void read_head(Parser& parser)
    {
        framing_progress const checked = head_framing_.check(unconsumed_);
        if (checked == framing_progress::malformed)
        {
            return fail(false);
        }
        bool const is_complete = checked == framing_progress::complete;
        std::size_t const end = is_complete ? head_framing_.head_bytes() : unconsumed_.size();
        if (!parse_head(parser, std::string_view{unconsumed_}.substr(parsed_, end - parsed_)))
        {
            return;
        }
        if (is_complete)
        {
            parser.is_done() ? begin_body() : fail(false);
        }
        else if (parser.is_done() || end - parsed_ > bounds_.head_bytes)
        {
            fail(!parser.is_done());
        }
    }

    // Also parses an unfinished head: bytes that can't begin a message end at once, without a line.
    template <class Parser>
    bool parse_head(Parser& parser, std::string_view bytes)
    {
        error_code error;
        parsed_ += parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != http::error::need_more)
        {
            fail(error == http::error::header_limit);
            return false;
        }
        return true;
    }

    // -- body -------------------------------------------------------------------------------------

    void begin_body()
    {
        std::string const behind = unconsumed_.substr(head_framing_.head_bytes());
        unconsumed_.clear();
        framing_ = head_framing_.framing();
        progress_ = head_framing_.has_body() ? read_progress::body : read_progress::complete;
        length_left_ = head_framing_.length();
        if (progress_ == read_progress::body && length_left_ > bounds_.body_bytes)
        {
            return fail(true);
        }
        read_body(behind);
    }

    void read_body(std::string_view bytes)
    {
        if (progress_ == read_progress::body)
        {
            bytes.remove_prefix(read_part(bytes));
        }
        if (progress_ == read_progress::complete)
        {
            unconsumed_.append(bytes);
        }
    }

    std::size_t read_part(std::string_view bytes)
    {
        switch (framing_)
        {
        case body_framing::length:
            return read_counted(bytes);
        case body_framing::chunked:
            return read_chunks(bytes);
        case body_framing::until_close:
            return read_open(bytes);
        case body_framing::none:
            break;
        }
        return 0;
    }

    std::size_t read_counted(std::string_view bytes)
    {
        auto const taken =
            static_cast<std::size_t>(std::min<std::uint64_t>(length_left_, bytes.size()));
        body_.append(bytes.substr(0, taken));
        length_left_ -= taken;
        if (length_left_ == 0)
        {
            progress_ = read_progress::complete;
        }
        return taken;
    }

    std::size_t read_chunks(std::string_view bytes)
    {
        std::size_t const taken = chunks_.read(bytes, body_);
        if (chunks_.progress() == framing_progress::complete)
        {
            progress_ = read_progress::complete;
        }
        else if (chunks_.progress() != framing_progress::incomplete)
        {
            fail(chunks_.progress() == framing_progress::too_large);
        }
        return taken;
    }

    std::size_t read_open(std::string_view bytes)
    {
        if (bytes.size() > body_left_)
        {
            fail(true);
            return 0;
        }
        body_left_ -= bytes.size();
        body_.append(bytes);
        return bytes.size();
    }

    limits bounds_;
    head_framing head_framing_;
    chunked_body chunks_;
    std::uint64_t length_left_ = 0;
    std::uint64_t body_left_; ///< Of a body that ends with the connection.
    std::size_t parsed_ = 0;  ///< How much of the head Beast has consumed.
    std::optional<head_parser<true>> request_;
    std::optional<head_parser<false>> answer_;
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
    return implementation_->head_;
}

std::string http_reader::take_body()
{
    return std::exchange(implementation_->body_, {});
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
