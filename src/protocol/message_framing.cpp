#include <plumdale/protocol/answer_status.hpp>
#include <plumdale/protocol/message_framing.hpp>
#include <plumdale/protocol/message_head.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace plumdale::protocol
{
namespace
{

constexpr char carriage_return = '\r';
constexpr char line_feed = '\n';
constexpr std::size_t line_end_bytes = 2;
constexpr std::string_view coding_chunked = "chunked";
constexpr std::string_view answer_begin = "HTTP/1.";
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
/// \brief As many as 64 bits need: readers differ on what longer sizes mean, leading zeros or not.
constexpr std::size_t max_size_digits = 16;
/// \brief What a chunk line may take at no charge: so many bytes, and more for each byte of data.
constexpr std::uint64_t free_line_bytes = 16;
constexpr std::uint64_t free_line_bytes_per_data_byte = 2;

/// \brief Trailers that would frame, route, authorize or reinterpret a message that was already
/// judged by its head (RFC 9110, 6.5.1).
constexpr std::array<std::string_view, 33> forbidden_trailers{"Transfer-Encoding",
                                                              "Content-Length",
                                                              "Trailer",
                                                              "TE",
                                                              "Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Connection",
                                                              "Upgrade",
                                                              "Expect",
                                                              "Host",
                                                              "Max-Forwards",
                                                              "Cache-Control",
                                                              "Pragma",
                                                              "Range",
                                                              "If-Match",
                                                              "If-None-Match",
                                                              "If-Modified-Since",
                                                              "If-Unmodified-Since",
                                                              "If-Range",
                                                              "Authorization",
                                                              "Proxy-Authorization",
                                                              "WWW-Authenticate",
                                                              "Proxy-Authenticate",
                                                              "Cookie",
                                                              "Set-Cookie",
                                                              "Age",
                                                              "Expires",
                                                              "Location",
                                                              "Retry-After",
                                                              "Vary",
                                                              "Content-Encoding",
                                                              "Content-Type",
                                                              "Content-Range"};

// -- characters -----------------------------------------------------------------------------------

constexpr bool is_digit(char c) noexcept
{
    return c >= '0' && c <= '9';
}

constexpr bool is_hex_digit(char c) noexcept
{
    return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

constexpr bool is_blank(char c) noexcept
{
    return c == ' ' || c == '\t';
}

constexpr bool is_control(char c) noexcept
{
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

constexpr bool is_field_char(char c) noexcept
{
    return !is_control(c) || c == '\t';
}

constexpr bool is_target_char(char c) noexcept
{
    return !is_control(c) && c != ' ';
}

constexpr std::array<bool, 256> token_table = []
{
    std::array<bool, 256> table{};
    for (unsigned char c = 'a'; c <= 'z'; ++c)
    {
        table[c] = true;
    }
    for (unsigned char c = 'A'; c <= 'Z'; ++c)
    {
        table[c] = true;
    }
    for (char const c : std::string_view{"0123456789!#$%&'*+-.^_`|~"})
    {
        table[static_cast<unsigned char>(c)] = true;
    }
    return table;
}();

constexpr bool is_token_char(char c) noexcept
{
    return token_table[static_cast<unsigned char>(c)];
}

template <class Predicate>
bool all(std::string_view text, Predicate predicate) noexcept
{
    return std::all_of(text.begin(), text.end(), predicate);
}

bool is_token(std::string_view text) noexcept
{
    return !text.empty() && all(text, is_token_char);
}

/// \brief Removes the longest beginning of `text` whose characters all match; returns its length.
template <class Predicate>
std::size_t take_while(std::string_view& text, Predicate predicate) noexcept
{
    auto const end = std::find_if_not(text.begin(), text.end(), predicate);
    auto const taken = static_cast<std::size_t>(end - text.begin());
    text.remove_prefix(taken);
    return taken;
}

bool take(std::string_view& text, char c) noexcept
{
    bool const found = text.starts_with(c);
    text.remove_prefix(found ? 1 : 0);
    return found;
}

// -- fields ---------------------------------------------------------------------------------------

struct raw_field
{
    std::string_view name;
    std::string_view value;
};

// None for what is not a field. The name's characters exclude folded lines and white space before
// the colon: readers that skip it see a framing field where others see none.
std::optional<raw_field> split_field(std::string_view line) noexcept
{
    std::size_t const colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return std::nullopt;
    }
    std::string_view const value = line.substr(colon + 1);
    if (!all(value, is_field_char))
    {
        return std::nullopt;
    }
    return raw_field{line.substr(0, colon), trimmed(value)};
}

bool is_forbidden_trailer(std::string_view name) noexcept
{
    return std::any_of(forbidden_trailers.begin(), forbidden_trailers.end(),
                       [name](std::string_view each) { return equals_ignore_case(each, name); });
}

// -- chunk lines ----------------------------------------------------------------------------------

bool take_quoted_text(std::string_view& text) noexcept
{
    if (!take(text, '"'))
    {
        return false;
    }
    while (!text.empty() && text.front() != '"')
    {
        take(text, '\\');
        if (text.empty() || !is_field_char(text.front()))
        {
            return false;
        }
        text.remove_prefix(1);
    }
    return take(text, '"');
}

// After a name: nothing, or a value. White space that no value follows is left to the next `;`.
bool take_extension_value(std::string_view& text) noexcept
{
    std::string_view ahead = text;
    take_while(ahead, is_blank);
    if (!take(ahead, '='))
    {
        return true;
    }
    text = ahead;
    take_while(text, is_blank);
    return take_while(text, is_token_char) > 0 || take_quoted_text(text);
}

bool are_extensions(std::string_view text) noexcept
{
    while (!text.empty())
    {
        take_while(text, is_blank);
        if (!take(text, ';'))
        {
            return false;
        }
        take_while(text, is_blank);
        if (take_while(text, is_token_char) == 0 || !take_extension_value(text))
        {
            return false;
        }
    }
    return true;
}

// None for anything but hexadecimal digits and extensions: no sign, no `0x`, no white space.
std::optional<std::uint64_t> size_of_chunk(std::string_view line) noexcept
{
    std::string_view extensions = line;
    std::size_t const digits = take_while(extensions, is_hex_digit);
    if (digits == 0 || digits > max_size_digits || !are_extensions(extensions))
    {
        return std::nullopt;
    }
    std::uint64_t size = 0;
    std::from_chars(line.data(), line.data() + digits, size, 16);
    return size;
}

} // namespace

std::string_view to_text(body_framing framing) noexcept
{
    static constexpr std::array<std::string_view, 4> words{"none", "length", "chunks",
                                                           "until close"};
    return words[static_cast<std::size_t>(framing)];
}

// -- heads ----------------------------------------------------------------------------------------

framing_progress head_framing::check(std::string_view head) noexcept
{
    for (;;)
    {
        std::size_t const end = head.find(line_feed, searched_);
        if (end == std::string_view::npos)
        {
            searched_ = head.size();
            return can_begin_message(head) ? framing_progress::incomplete
                                           : framing_progress::malformed;
        }
        if (end == line_begin_ || head[end - 1] != carriage_return)
        {
            return framing_progress::malformed;
        }
        std::string_view const line = head.substr(line_begin_, end - 1 - line_begin_);
        searched_ = line_begin_ = end + 1;
        if (line.empty() && !is_first_line_)
        {
            return framing_progress::complete;
        }
        if (!check_line(line))
        {
            return framing_progress::malformed;
        }
    }
}

// What comes behind an interim answer may be a body that it can't have, and end without a line.
bool head_framing::can_begin_message(std::string_view head) const noexcept
{
    std::string_view const first = head.substr(0, answer_begin.size());
    return role_ == message_role::request || answer_begin.starts_with(first);
}

bool head_framing::check_line(std::string_view line) noexcept
{
    if (!is_first_line_)
    {
        return check_field(line);
    }
    is_first_line_ = false;
    return role_ == message_role::request ? check_request_line(line) : check_status_line(line);
}

bool head_framing::check_request_line(std::string_view line) noexcept
{
    std::size_t const first = line.find(' ');
    std::size_t const last = line.rfind(' ');
    if (first == std::string_view::npos || last <= first + 1)
    {
        return false;
    }
    return is_token(line.substr(0, first)) &&
           all(line.substr(first + 1, last - first - 1), is_target_char) &&
           check_version(line.substr(last + 1));
}

bool head_framing::check_status_line(std::string_view line) noexcept
{
    constexpr std::size_t version_bytes = 8;
    constexpr std::size_t status_at = 9;
    constexpr std::size_t reason_at = 13;
    if (line.size() < reason_at || line[version_bytes] != ' ' || line[reason_at - 1] != ' ')
    {
        return false;
    }
    std::string_view const status = line.substr(status_at, reason_at - 1 - status_at);
    std::from_chars(status.data(), status.data() + status.size(), status_);
    return check_version(line.substr(0, version_bytes)) && all(status, is_digit) &&
           kind_of_status(status_) != status_kind::none &&
           all(line.substr(reason_at), is_field_char);
}

bool head_framing::check_version(std::string_view version) noexcept
{
    is_version_1_0_ = version == "HTTP/1.0";
    return is_version_1_0_ || version == "HTTP/1.1";
}

bool head_framing::check_field(std::string_view line) noexcept
{
    struct framing_field
    {
        std::string_view name;
        bool (head_framing::*read)(std::string_view) noexcept;
    };
    static constexpr std::array<framing_field, 4> framing_fields{
        framing_field{"Content-Length", &head_framing::read_length},
        framing_field{"Transfer-Encoding", &head_framing::read_coding},
        framing_field{"Connection", &head_framing::read_connection},
        framing_field{"Proxy-Connection", &head_framing::read_connection}};

    auto const field = split_field(line);
    if (!field)
    {
        return false;
    }
    auto const found = std::find_if(framing_fields.begin(), framing_fields.end(),
                                    [&field](framing_field const& each)
                                    { return equals_ignore_case(each.name, field->name); });
    return found == framing_fields.end() || (this->*found->read)(field->value);
}

bool head_framing::read_length(std::string_view value) noexcept
{
    if (has_length_ || has_coding_ || value.empty() || !all(value, is_digit))
    {
        return false;
    }
    has_length_ = true;
    return std::from_chars(value.data(), value.data() + value.size(), length_).ec == std::errc{};
}

// No other coding is understood, and the end of a body whose last coding isn't `chunked` can't be
// known: its bytes would be read as the next message.
bool head_framing::read_coding(std::string_view value) noexcept
{
    if (has_length_ || has_coding_ || is_version_1_0_)
    {
        return false;
    }
    has_coding_ = true;
    return equals_ignore_case(value, coding_chunked);
}

// Names the fields that end at this hop. Beast refuses other lists too, but only with the whole
// head.
bool head_framing::read_connection(std::string_view value) noexcept
{
    while (!value.empty())
    {
        std::size_t const comma = std::min(value.find(','), value.size());
        std::string_view const name = trimmed(value.substr(0, comma));
        if (!all(name, is_token_char))
        {
            return false;
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return true;
}

body_framing head_framing::framing() const noexcept
{
    if (has_coding_)
    {
        return body_framing::chunked;
    }
    if (has_length_)
    {
        return body_framing::length;
    }
    bool const ends_at_head = role_ == message_role::request || never_has_body();
    return ends_at_head ? body_framing::none : body_framing::until_close;
}

bool head_framing::has_body() const noexcept
{
    return !never_has_body() && (framing() == body_framing::chunked || length_ > 0 ||
                                 framing() == body_framing::until_close);
}

bool head_framing::never_has_body() const noexcept
{
    if (role_ != message_role::answer)
    {
        return role_ == message_role::answer_without_body;
    }
    return kind_of_status(status_) != status_kind::final_answer || status_ == status_no_content ||
           status_ == status_not_modified;
}

// -- chunks ---------------------------------------------------------------------------------------

std::size_t chunked_body::read(std::string_view bytes, std::string& body)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && progress_ == framing_progress::incomplete)
    {
        std::string_view const left = bytes.substr(consumed);
        consumed += part_ == part::chunk_data ? read_data(left, body) : read_line(left);
    }
    return consumed;
}

std::size_t chunked_body::read_data(std::string_view bytes, std::string& body)
{
    auto const taken = static_cast<std::size_t>(std::min<std::uint64_t>(chunk_left_, bytes.size()));
    body.append(bytes.substr(0, taken));
    chunk_left_ -= taken;
    if (chunk_left_ == 0)
    {
        part_ = part::chunk_end;
    }
    return taken;
}

std::size_t chunked_body::read_line(std::string_view bytes)
{
    std::size_t const end = bytes.find(line_feed);
    if (end == std::string_view::npos)
    {
        keep_partial_line(bytes);
        return bytes.size();
    }
    std::string_view line = bytes.substr(0, end);
    if (!partial_line_.empty())
    {
        partial_line_.append(line);
        line = partial_line_;
    }
    if (line.size() > overhead_limit_)
    {
        progress_ = framing_progress::too_large;
    }
    else if (!line.ends_with(carriage_return))
    {
        progress_ = framing_progress::malformed;
    }
    else
    {
        on_line(line.substr(0, line.size() - 1));
    }
    partial_line_.clear();
    return end + 1;
}

void chunked_body::keep_partial_line(std::string_view bytes)
{
    partial_line_.append(bytes);
    if (!can_begin_line(partial_line_.front()))
    {
        progress_ = framing_progress::malformed;
    }
    else if (partial_line_.size() > overhead_limit_)
    {
        progress_ = framing_progress::too_large;
    }
}

// A sender that goes wrong here may never send a line end: what can't become one ends at once.
bool chunked_body::can_begin_line(char first) const noexcept
{
    if (part_ == part::chunk_line)
    {
        return is_hex_digit(first);
    }
    return part_ == part::trailers || (first == carriage_return && partial_line_.size() == 1);
}

void chunked_body::on_line(std::string_view line) noexcept
{
    using handler = void (chunked_body::*)(std::string_view) noexcept;
    // In the order of `part`; data has no lines.
    static constexpr std::array<handler, 4> handlers{&chunked_body::on_chunk_line, nullptr,
                                                     &chunked_body::on_chunk_end,
                                                     &chunked_body::on_trailer};
    (this->*handlers[static_cast<std::size_t>(part_)])(line);
}

void chunked_body::on_chunk_line(std::string_view line) noexcept
{
    auto const size = size_of_chunk(line);
    if (!size)
    {
        progress_ = framing_progress::malformed;
        return;
    }
    if (*size > body_left_)
    {
        progress_ = framing_progress::too_large;
        return;
    }
    begin_chunk(*size, line.size() + line_end_bytes);
}

void chunked_body::begin_chunk(std::uint64_t size, std::size_t line_bytes) noexcept
{
    body_left_ -= size;
    chunk_left_ = size;
    part_ = size == 0 ? part::trailers : part::chunk_data;
    // Long extensions on small chunks would cost time without end, as they count for no body.
    std::uint64_t const paying = std::min(size, overhead_limit_);
    std::uint64_t const free = free_line_bytes + free_line_bytes_per_data_byte * paying;
    overhead_ = overhead_ + line_bytes > free ? overhead_ + line_bytes - free : 0;
    if (overhead_ > overhead_limit_)
    {
        progress_ = framing_progress::too_large;
    }
}

void chunked_body::on_chunk_end(std::string_view line) noexcept
{
    part_ = part::chunk_line;
    if (!line.empty())
    {
        progress_ = framing_progress::malformed;
    }
}

void chunked_body::on_trailer(std::string_view line) noexcept
{
    if (line.empty())
    {
        progress_ = framing_progress::complete;
        return;
    }
    trailer_bytes_ += line.size() + line_end_bytes;
    auto const field = split_field(line);
    if (!field || is_forbidden_trailer(field->name))
    {
        progress_ = framing_progress::malformed;
    }
    else if (trailer_bytes_ > overhead_limit_)
    {
        progress_ = framing_progress::too_large;
    }
}

} // namespace plumdale::protocol
