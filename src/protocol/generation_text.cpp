#include <plumdale/protocol/generation_text.hpp>

#include <array>
#include <charconv>

namespace plumdale::protocol
{
namespace
{

constexpr std::size_t mac_digits = 32;

// Returns the field before the separator and removes both from the front of `text`.
std::optional<std::string_view> take_field(std::string_view& text, char separator)
{
    std::size_t const end = text.find(separator);
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string_view const field = text.substr(0, end);
    text.remove_prefix(end + 1);
    return field;
}

std::optional<std::uint64_t> take_hex(std::string_view& text, char separator)
{
    auto const field = take_field(text, separator);
    return field ? parse_hex(*field) : std::nullopt;
}

bool parse_mac(std::string_view text, std::array<std::uint8_t, 16>& mac)
{
    if (text.size() != mac_digits)
    {
        return false;
    }
    for (std::size_t i = 0; i < mac.size(); ++i)
    {
        auto const byte = parse_hex(text.substr(2 * i, 2));
        if (!byte)
        {
            return false;
        }
        mac[i] = static_cast<std::uint8_t>(*byte);
    }
    return true;
}

void append_byte(std::string& text, std::uint8_t byte)
{
    constexpr std::string_view digits = "0123456789abcdef";
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
}

} // namespace

std::string to_hex(std::uint64_t value)
{
    std::string text;
    for (int shift = 56; shift >= 0; shift -= 8)
    {
        append_byte(text, static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
    }
    return text;
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    if (text.empty() || text.size() > 16 ||
        text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

std::string to_text(state::generation_id const& id)
{
    std::string text = "g-" + to_hex(id.owner.value) + '-' + to_hex(id.incarnation_number.value) +
                       '-' + to_hex(id.sequence) + '-';
    for (std::uint8_t const byte : id.mac)
    {
        append_byte(text, byte);
    }
    return text;
}

std::optional<state::generation_id> parse_generation_id(std::string_view text)
{
    if (!text.starts_with("g-"))
    {
        return std::nullopt;
    }
    text.remove_prefix(2);
    auto const owner = take_hex(text, '-');
    auto const incarnation_number = take_hex(text, '-');
    auto const sequence = take_hex(text, '-');
    state::generation_id id;
    if (!owner || !incarnation_number || !sequence || !parse_mac(text, id.mac))
    {
        return std::nullopt;
    }
    id.owner = state::node_id{*owner};
    id.incarnation_number = state::incarnation{*incarnation_number};
    id.sequence = *sequence;
    return id;
}

std::string to_text(event_id const& id)
{
    std::string text = to_text(id.generation);
    if (id.upstream)
    {
        text += '@' + to_hex(id.upstream.value);
    }
    return text + '/' + std::to_string(id.index);
}

std::optional<event_id> parse_event_id(std::string_view text)
{
    std::size_t const slash = text.rfind('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    event_id id;
    std::string_view const index = text.substr(slash + 1);
    auto const [end, error] = std::from_chars(index.data(), index.data() + index.size(), id.index);
    if (error != std::errc{} || end != index.data() + index.size() || index.empty())
    {
        return std::nullopt;
    }
    text = text.substr(0, slash);
    if (std::size_t const at = text.find('@'); at != std::string_view::npos)
    {
        auto const upstream = parse_hex(text.substr(at + 1));
        if (!upstream)
        {
            return std::nullopt;
        }
        id.upstream = state::upstream_id{*upstream};
        text = text.substr(0, at);
    }
    auto const generation = parse_generation_id(text);
    if (!generation)
    {
        return std::nullopt;
    }
    id.generation = *generation;
    return id;
}

} // namespace plumdale::protocol
