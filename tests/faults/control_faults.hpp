#pragma once

#include "coordination/control_checker.hpp"

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief The faults of the matrix that presets, members and orders can meet.

namespace plumdale::faults
{

/// \brief A fleet at some step, and the nodes that the fault is aimed at.
struct control_scenario
{
    testing::fleet_loop& loop;
    testing::control_checker& checker;
    std::mt19937_64& random;
    /// \brief The node at which the step happens, and one other.
    std::size_t node = 1;
    std::size_t other = 3;
    /// \brief A preset that has to be in force in the end; none when the fault may decide.
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

/// \brief One column of the matrix. A fault ends by itself or when the scene is healed.
struct control_fault
{
    std::string_view name;
    void (*inject)(control_scenario&);
};

[[nodiscard]] std::span<control_fault const> control_faults();

} // namespace plumdale::faults
