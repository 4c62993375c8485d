#include <plumdale/protocol/role_text.hpp>

#include <array>

namespace plumdale::protocol
{
namespace
{

constexpr std::array<std::string_view, 4> names{"mixed", "drafts", "questions", "idle"};

} // namespace

std::string_view role_name(state::engine_role role) noexcept
{
    return names[static_cast<std::size_t>(role)];
}

std::optional<state::engine_role> role_from_name(std::string_view name) noexcept
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
        {
            return static_cast<state::engine_role>(i);
        }
    }
    return std::nullopt;
}

} // namespace plumdale::protocol
