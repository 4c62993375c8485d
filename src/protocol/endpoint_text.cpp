#include <plumdale/protocol/endpoint_text.hpp>

#include <charconv>

namespace plumdale::protocol
{
namespace
{

constexpr std::uint32_t octet_limit = 255;
constexpr std::uint32_t port_limit = 65535;

// Takes a decimal number of at most `limit` off the front of `text`.
std::optional<std::uint32_t> take_number(std::string_view& text, std::uint32_t limit)
{
    std::uint32_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value > limit)
    {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool take_character(std::string_view& text, char expected)
{
    if (text.empty() || text.front() != expected)
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_text(state::endpoint where)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        text += std::to_string((where.address >> static_cast<unsigned>(shift)) & octet_limit);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(where.port);
}

std::optional<state::endpoint> parse_endpoint(std::string_view text)
{
    state::endpoint where;
    for (int octet = 0; octet < 4; ++octet)
    {
        auto const value = take_number(text, octet_limit);
        if (!value || !take_character(text, octet == 3 ? ':' : '.'))
        {
            return std::nullopt;
        }
        where.address = (where.address << 8U) | *value;
    }
    auto const port = take_number(text, port_limit);
    if (!port || !text.empty())
    {
        return std::nullopt;
    }
    where.port = static_cast<std::uint16_t>(*port);
    return where;
}

} // namespace plumdale::protocol
