#pragma once

#include <plumdale/state/time.hpp>

#include <cstddef>

/// \file
/// \brief Among how many of the best upstreams a choice is drawn.

namespace plumdale::coordination
{

/// \brief What an entry VM knows of the choices that its peers make at the same time.
struct concurrent_choices
{
    /// \brief Calls that begin at the service's upstreams, a second, from all entry VMs.
    double starts_per_second = 0.0;
    /// \brief Time from a start until peers have its load row.
    state::duration news_age{};
};

/// \brief Returns among how many of the best upstreams a choice is drawn, so that choices which
/// don't know of each other seldom meet; at least one, at most `upstreams`.
///
/// Example: `std::size_t const among = drawn_among({60.0, 30ms}, 57);`
[[nodiscard]] std::size_t drawn_among(concurrent_choices const& choices,
                                      std::size_t upstreams) noexcept;

} // namespace plumdale::coordination
