#pragma once

#include "fleet/checked_callers.hpp"

#include <span>
#include <string_view>

/// \file
/// \brief The faults of the matrix for requests.

namespace plumdale::faults
{

/// \brief A fleet, its callers, and the order that the fault affects.
struct request_scenario
{
    test::request_fleet& fleet;
    test::checked_callers& callers;
    std::size_t target_index;

    [[nodiscard]] test::order& target() const
    {
        return callers.orders[target_index];
    }
    /// \brief Returns the VM that the caller is connected to or the one that owns its generation.
    [[nodiscard]] std::size_t entry_vm() const;
    /// \brief Returns the engine that last ran the order; a random one if none did.
    [[nodiscard]] std::size_t engine() const;
    [[nodiscard]] test::duration random_duration(test::duration longest) const
    {
        return test::duration{static_cast<std::int64_t>(
            fleet.random() % static_cast<std::uint64_t>(longest.count()))};
    }
};

/// \brief One column of the matrix.
struct request_fault
{
    std::string_view name;
    /// \brief Injects the fault; it ends by itself.
    void (*inject)(request_scenario const&);
    /// \brief Changes an order before it is sent; may be null.
    void (*prepare)(test::order&) = nullptr;
    /// \brief Whether every order ends with a complete answer under this fault alone.
    bool expects_all_whole = false;
};

[[nodiscard]] std::span<request_fault const> request_faults();

} // namespace plumdale::faults
