#pragma once

#include "coordination/control_checker.hpp"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief The faults of the matrix for presets, members and orders.

namespace plumdale::faults
{

/// \brief A fleet at some step, and the nodes that the fault affects.
struct control_scenario
{
    testing::fleet_loop& loop;
    testing::control_checker& checker;
    std::mt19937_64& random;
    /// \brief The node at which the step happens, and another one.
    std::size_t node = 1;
    std::size_t other = 3;
    /// \brief The preset that has to be in force at the end; empty if the fault may decide it.
    std::string expected;

    void request_switch(std::size_t at, std::uint64_t exchange, std::string const& preset)
    {
        checker.record_switch_request(exchange, at);
        auto const operator_number = static_cast<std::uint8_t>(exchange);
        loop.send(at, coordination::operator_switch{{exchange},
                                                    testing::operator_key(operator_number),
                                                    testing::preset_named(preset),
                                                    0});
    }
    [[nodiscard]] bool accepted(std::uint64_t exchange) const;
};

/// \brief One column of the matrix. A fault ends by itself or in `remove_faults`.
struct control_fault
{
    std::string_view name;
    void (*inject)(control_scenario&);
};

[[nodiscard]] std::span<control_fault const> control_faults();

} // namespace plumdale::faults
