#include <plumdale/protocol/uri_text.hpp>
#include <plumdale/state/uri_characters.hpp>

namespace plumdale::protocol
{

std::string escaped(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (char const c : text)
    {
        if (state::is_unreserved(c))
        {
            out += c;
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

} // namespace plumdale::protocol
