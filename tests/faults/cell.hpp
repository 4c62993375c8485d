#pragma once

#include <plumdale/coordination/safeguards.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief One cell of the fault matrix: a fault at a step.

namespace plumdale::faults
{

/// \brief The guarantees that a run of a cell violated; empty when all held.
using violations = std::vector<std::string>;

/// \brief A fault at a step, and the function that runs it.
struct cell
{
    std::string step;
    std::string fault;
    /// \brief Runs the cell once on the decision core; null if the cell does not run there.
    std::function<violations(std::uint64_t seed, coordination::safeguard_set safeguards)> run;
    /// \brief For a cell without `run`: the test that covers it, or the reason why none does.
    std::string elsewhere;
};

/// \brief A safeguard and one cell that fails without it.
struct guarded_cell
{
    coordination::safeguard guard;
    std::string_view step;
    std::string_view fault;
};

/// \brief A cell that a test of `test_system` runs on real processes; `test` is its name.
struct process_cell
{
    std::string_view step;
    std::string_view fault;
    std::string_view test;
};

/// \brief Returns a cell for each step of a request and each fault.
[[nodiscard]] std::vector<cell> request_cells();
/// \brief Returns a cell for each pair of faults, at one step of a request.
[[nodiscard]] std::vector<cell> request_pair_cells();
/// \brief Returns the cells for steps of presets, members and orders.
[[nodiscard]] std::vector<cell> control_cells();

/// \brief Returns the cells that run on processes.
[[nodiscard]] std::vector<process_cell> process_cells();

/// \brief Returns, for each safeguard of requests, a cell that fails without it.
[[nodiscard]] std::vector<guarded_cell> request_guards();
/// \brief Returns, for each safeguard of the control plane, a cell that fails without it.
[[nodiscard]] std::vector<guarded_cell> control_guards();

} // namespace plumdale::faults
