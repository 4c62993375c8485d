#pragma once

#include <plumdale/state/routing_configuration.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Which decisions under hard load an entry VM makes, by its settings and configuration.

namespace plumdale::coordination
{

/// \brief Parts that are off by default.
enum class load_part : std::uint8_t
{
    learned_speeds,    ///< Calls follow the speeds that were observed at upstreams.
    shared_suspicions, ///< Entry VMs share which upstreams and zones they can't reach.
    ranked_waiting,    ///< Waiting calls have an order by rank and customer.
    fitted_copies,     ///< Copies of generations are ordered only where they fit.
    count              ///< Number of parts; no part itself.
};

inline constexpr std::size_t load_part_count = static_cast<std::size_t>(load_part::count);

/// \brief Parts by name, as in the settings file.
inline constexpr std::array<std::string_view, load_part_count> load_part_names{
    "learned_speeds", "shared_suspicions", "ranked_waiting", "fitted_copies"};

/// \brief Which parts the settings allow.
using load_part_settings = std::array<bool, load_part_count>;

/// \brief Whether a part is on, and the condition that decided it.
struct load_part_status
{
    bool is_on = false;
    std::string_view because;
};

/// \brief Holds for each part whether it is on under the configuration in force.
///
/// A part is on if the settings allow it and the configuration has what it is for. Example:
/// \code
/// load_parts parts{settings.parts};
/// parts.configure(configuration);
/// if (parts.is_on(load_part::learned_speeds)) { ... }
/// \endcode
class load_parts
{
public:
    explicit load_parts(load_part_settings const& allowed) noexcept;

    /// \brief Changes which parts the settings allow; `configure` decides anew.
    void allow(load_part_settings const& allowed) noexcept;
    void configure(state::routing_configuration const& configuration);
    [[nodiscard]] bool is_on(load_part part) const noexcept
    {
        return status(part).is_on;
    }
    [[nodiscard]] load_part_status const& status(load_part part) const noexcept
    {
        return statuses_[static_cast<std::size_t>(part)];
    }
    /// \brief Returns what a part needs of the configuration.
    [[nodiscard]] static std::string_view condition(load_part part) noexcept;

    /// \brief Calls with less time than this end before their VM has given up three upstreams that
    /// don't answer.
    static constexpr state::duration min_time_for_own_findings = std::chrono::milliseconds{1'050};

private:
    load_part_settings allowed_{};
    std::array<load_part_status, load_part_count> statuses_{};
};

} // namespace plumdale::coordination
