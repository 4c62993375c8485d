#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The order among calls that wait at an entry VM for capacity.

namespace plumdale::coordination
{

/// \brief How many calls of a rank wait at an entry VM, as peers receive it.
struct waiting_row
{
    state::service_key service;
    std::uint8_t rank = 0;
    std::uint16_t calls = 0;
    /// \brief How long the oldest of them has waited.
    state::duration oldest{};
};

/// \brief A call that waits.
struct waiting_call
{
    std::uint64_t id = 0;
    state::service_key service;
    /// \brief Zero is the most urgent.
    std::uint32_t rank = 0;
    std::string customer;
    /// \brief When it can't be on time any more.
    state::time_point latest{};
};

/// \brief Chooses which waiting call of a service is tried next: by rank, then in turn between
/// customers, then by the time that is left.
class waiting_calls
{
public:
    /// \brief Adds a call; returns false if the queue is full.
    bool push(waiting_call call, state::time_point now);
    void remove(std::uint64_t id);
    /// \brief Returns the calls of a service to try now, in order.
    [[nodiscard]] std::vector<std::uint64_t> next(state::service_key service, std::size_t count,
                                                  state::time_point now);
    /// \brief Returns whether calls wait that go before one of `rank`, here or at peers.
    [[nodiscard]] bool goes_after_others(state::service_key service, std::uint32_t rank,
                                         state::time_point now) const;
    [[nodiscard]] std::vector<waiting_row> own_rows(state::time_point now) const;
    void apply_update(state::node_id peer, std::span<waiting_row const> rows,
                      state::time_point now);
};

} // namespace plumdale::coordination
