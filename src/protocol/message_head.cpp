#include <plumdale/protocol/message_head.hpp>

#include <algorithm>
#include <array>

namespace plumdale::protocol
{
namespace
{

constexpr std::array<std::string_view, 11> hop_by_hop_names{
    "Connection", "Keep-Alive",     "Proxy-Connection",   "Proxy-Authenticate",
    "TE",         "Trailer",        "Transfer-Encoding",  "Upgrade",
    "Expect",     "Content-Length", "Proxy-Authorization"};

char lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::string_view trimmed(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

bool equals_ignore_case(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

bool has_token(std::string_view list, std::string_view token) noexcept
{
    while (!list.empty())
    {
        std::size_t const comma = std::min(list.find(','), list.size());
        if (equals_ignore_case(trimmed(list.substr(0, comma)), token))
        {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

std::string const* message_head::find(std::string_view name) const noexcept
{
    auto const found = std::find_if(fields.begin(), fields.end(),
                                    [name](header_field const& field)
                                    { return equals_ignore_case(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

std::size_t message_head::count(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(),
        [name](header_field const& field) { return equals_ignore_case(field.name, name); }));
}

bool is_hop_by_hop(message_head const& head, std::string_view name) noexcept
{
    bool const standard =
        std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                    [name](std::string_view each) { return equals_ignore_case(each, name); });
    return standard || std::any_of(head.fields.begin(), head.fields.end(),
                                   [name](header_field const& field) {
                                       return equals_ignore_case(field.name, "Connection") &&
                                              has_token(field.value, name);
                                   });
}

} // namespace plumdale::protocol
