#include <plumdale/protocol/raw_event_splitter.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace plumdale::protocol
{
namespace
{

constexpr std::string_view line_ends = "\r\n";
constexpr std::string_view id_field = "id";
constexpr std::string_view data_field = "data";
constexpr char comment_mark = ':';

struct field
{
    std::string_view name;
    std::string_view value;
};

field split_field(std::string_view line)
{
    std::size_t const colon = std::min(line.find(':'), line.size());
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    return {line.substr(0, colon), value};
}

std::optional<std::uint64_t> parse_id(std::string_view text)
{
    std::uint64_t id = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), id);
    bool const is_number = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return is_number ? std::optional{id} : std::nullopt;
}

} // namespace

void raw_event_splitter::append(std::string_view bytes)
{
    buffer_.erase(0, begin_);
    line_ -= begin_;
    searched_ -= begin_;
    begin_ = 0;
    buffer_.append(bytes);
}

std::optional<raw_event> raw_event_splitter::next()
{
    if (auto prefix = take_prefix())
    {
        return prefix;
    }
    while (auto const line = next_line())
    {
        bool const is_blank = line->empty();
        if (!is_blank && !line->starts_with(comment_mark))
        {
            read_field(*line);
        }
        in_block_ = !is_blank;
        // A comment between two blocks is a sign of life: it doesn't wait for the block after it.
        if (is_blank || !has_fields_)
        {
            return take_piece();
        }
    }
    return std::nullopt;
}

raw_event raw_event_splitter::take_piece()
{
    piece_.text = buffer_.substr(begin_, line_ - begin_);
    begin_ = line_;
    has_fields_ = false;
    return std::exchange(piece_, {});
}

std::optional<raw_event> raw_event_splitter::take_prefix()
{
    std::string_view const left = std::string_view{buffer_}.substr(line_);
    if (is_at_start_ && left.starts_with(byte_order_mark))
    {
        is_at_start_ = false;
        line_ += byte_order_mark.size();
        searched_ = line_;
        return take_piece();
    }
    // The line was read at its CR: an event must not wait for bytes that may be long in coming.
    if (!is_after_cr_ || left.empty())
    {
        return std::nullopt;
    }
    is_after_cr_ = false;
    if (!left.starts_with('\n'))
    {
        return std::nullopt;
    }
    ++line_;
    searched_ = line_;
    piece_.ends_previous = !has_fields_;
    return has_fields_ ? std::nullopt : std::optional{take_piece()};
}

std::optional<std::string_view> raw_event_splitter::next_line()
{
    std::size_t const end = buffer_.find_first_of(line_ends, searched_);
    if (end == std::string::npos)
    {
        searched_ = buffer_.size();
        return std::nullopt;
    }
    std::string_view const line = std::string_view{buffer_}.substr(line_, end - line_);
    std::string_view const line_end = std::string_view{buffer_}.substr(end, line_ends.size());
    is_after_cr_ = line_end == "\r";
    line_ = end + (line_end == line_ends ? line_ends.size() : 1);
    searched_ = line_;
    is_at_start_ = false;
    return line;
}

void raw_event_splitter::read_field(std::string_view line)
{
    has_fields_ = true;
    auto const [name, value] = split_field(line);
    bool const is_ignored_id = value.find('\0') != std::string_view::npos;
    if (name == id_field && !is_ignored_id)
    {
        piece_.id = parse_id(value);
    }
    piece_.is_event = piece_.is_event || name == data_field;
}

} // namespace plumdale::protocol
