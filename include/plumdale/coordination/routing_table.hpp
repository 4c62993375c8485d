#pragma once

#include <plumdale/state/routing_configuration.hpp>

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Finds the route of a call and the customer of a key.

namespace plumdale::coordination
{

/// \brief An index over one version of the configuration. Immutable, so that calls in flight keep
/// the version under which they were admitted.
///
/// Example:
/// \code
/// routing_table const table{std::move(configuration)};
/// state::route const* route = table.find_route("example.org", "/lists/42");
/// \endcode
class routing_table
{
public:
    explicit routing_table(state::routing_configuration configuration);
    routing_table(routing_table const&) = delete;
    routing_table& operator=(routing_table const&) = delete;
    ~routing_table() = default;

    /// \brief Returns the route of this host with the longest prefix that begins `path`, or null.
    [[nodiscard]] state::route const* find_route(std::string_view host,
                                                 std::string_view path) const;
    /// \brief Returns the customer that holds `key`, or null.
    [[nodiscard]] state::customer_keys const* find_customer(std::string_view key) const;
    /// \brief Returns the service with this name, or null.
    [[nodiscard]] state::service const* find_service(std::string_view name) const;
    /// \brief Returns the service that `route` selects by its weights for a random `draw` of 0 to
    /// 1; empty when the route names none.
    [[nodiscard]] static std::string_view service_of(state::route const& route,
                                                     double draw) noexcept;
    [[nodiscard]] state::routing_configuration const& configuration() const noexcept
    {
        return configuration_;
    }

private:
    state::routing_configuration configuration_;
    /// \brief Routes of a host, longest prefix first.
    std::unordered_map<std::string_view, std::vector<std::size_t>> routes_;
    std::unordered_map<std::string_view, std::size_t> customers_;
    std::unordered_map<std::string_view, std::size_t> services_;
};

} // namespace plumdale::coordination
