#include <plumdale/protocol/raw_event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace plumdale::protocol
{
namespace
{

constexpr std::string_view id_field = "id:";

// Returns the length of the first event with the empty line that ends it; 0 if incomplete.
std::size_t event_length(std::string_view text)
{
    std::size_t const lf = text.find("\n\n");
    std::size_t const crlf = text.find("\r\n\r\n");
    std::size_t const lf_end = lf == std::string_view::npos ? lf : lf + 2;
    std::size_t const crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
    std::size_t const end = std::min(lf_end, crlf_end);
    return end == std::string_view::npos ? 0 : end;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    while (!event.empty())
    {
        std::size_t const end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(id_field))
        {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
        {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        auto const parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        return parsed.ec == std::errc{} ? std::optional{id} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

void raw_event_splitter::append(std::string_view bytes)
{
    buffer_.erase(0, begin_);
    begin_ = 0;
    buffer_.append(bytes);
}

std::optional<raw_event> raw_event_splitter::next()
{
    std::string_view const left = std::string_view{buffer_}.substr(begin_);
    std::size_t const length = event_length(left);
    if (length == 0)
    {
        return std::nullopt;
    }
    begin_ += length;
    std::string_view const event = left.substr(0, length);
    return raw_event{std::string{event}, id_of(event)};
}

} // namespace plumdale::protocol
