#pragma once

#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>

/// \file
/// \brief Decides whether, where and when a copy of a generation's memory is ordered.

namespace plumdale::coordination
{

/// \brief A copy that could be ordered.
struct copy_request
{
    /// \brief Tokens that the generation holds now.
    std::uint32_t tokens = 0;
    /// \brief Tokens that it is expected to generate still.
    std::uint32_t remaining_tokens = 0;
    /// \brief Time until its upstream is gone.
    state::duration time_left{};
    /// \brief The destination is in another zone.
    bool to_other_zone = false;
};

/// \brief What is known of the destination, own and peers' orders included.
struct copy_destination
{
    /// \brief Tokens in its memory now, those promised to other copies included.
    std::uint64_t tokens_held = 0;
    /// \brief Calls and copies in its batch.
    std::uint32_t calls = 0;
    /// \brief Tokens in its memory when all of them have ended as estimated.
    std::uint64_t tokens_at_end = 0;
};

/// \brief Returns how many copies of this size a destination has room for until the generation is
/// resumed there; zero if the copy could not be complete in time.
[[nodiscard]] std::uint32_t copy_rooms(copy_request const& copy, copy_destination const& at,
                                       state::engine_limits const& engine) noexcept;

/// \brief Returns whether a destination has room for a copy until the generation is resumed there.
[[nodiscard]] bool fits(copy_request const& copy, copy_destination const& at,
                        state::engine_limits const& engine) noexcept;

/// \brief Draws one of the destinations with room, in one pass: those of the source's zone first,
/// and each with a probability that grows with its room.
///
/// Example:
/// \code
/// destination_draw draw;
/// draw.add(member, is_other_zone, copy_rooms(copy, at, engine), uniform(random));
/// draw.drawn();
/// \endcode
class destination_draw
{
public:
    /// \brief `uniform` is a random number from 0 up to 1.
    void add(state::member_key member, bool is_other_zone, std::uint32_t rooms,
             double uniform) noexcept;
    /// \brief Returns the destination; none if none has room.
    [[nodiscard]] std::optional<state::member_key> drawn() const noexcept
    {
        return drawn_;
    }

private:
    std::optional<state::member_key> drawn_;
    bool is_drawn_in_other_zone_ = false;
    double lowest_ = 0.0;
};

/// \brief Generations of all entry VMs at an upstream that leaves.
struct leaving_generations
{
    std::uint64_t tokens = 0;
    std::uint32_t calls = 0;
};

/// \brief Returns how long a generation lets those with more to lose order their copies first;
/// `uniform` is a random number from 0 up to 1.
[[nodiscard]] state::duration copy_turn(copy_request const& copy, leaving_generations const& all,
                                        state::engine_limits const& engine,
                                        double uniform) noexcept;

/// \brief Time per token of a running generation.
inline constexpr state::duration copy_token_time = std::chrono::milliseconds{12};

} // namespace plumdale::coordination
