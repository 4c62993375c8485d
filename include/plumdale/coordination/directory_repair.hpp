#pragma once

#include <plumdale/coordination/directory_sync.hpp>
#include <plumdale/coordination/fleet_view.hpp>
#include <plumdale/coordination/refresh_requests.hpp>
#include <plumdale/coordination/store_fallback.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

/// \file
/// \brief How an entry VM obtains the rows of the directory that it missed.

namespace plumdale::coordination
{

/// \brief Why rows are requested.
enum class repair_reason : std::uint8_t
{
    refresh,    ///< This VM did not run, or heard no peer for a while.
    difference, ///< Its directory differs from its peers', or it has none yet.
    check       ///< No sign of a difference; a peer is asked for its digests now and then.
};

[[nodiscard]] constexpr std::string_view to_text(repair_reason reason) noexcept
{
    constexpr std::array<std::string_view, 3> texts{"refresh", "difference", "check"};
    return texts[static_cast<std::size_t>(reason)];
}

/// \brief What to do now: request rows from `peer`, or read the store. For a check, rows are
/// requested only if the peer's digest is another one.
struct repair_step
{
    repair_reason reason = repair_reason::difference;
    /// \brief None if the store is to be read.
    std::optional<state::endpoint> peer;
};

/// \brief Chooses whom to ask: a peer whose directory differs, two peers after a pause whatever
/// their digests say, and the store if peers don't answer or have nothing that helps. Any peer is
/// checked from time to time, so that nothing rests on datagrams alone.
///
/// Example:
/// \code
/// while (auto const step = repair.next(has_list, now)) { step->peer ? ask it : read the store }
/// repair.answered(step.reason, succeeded, brought_news, now);
/// \endcode
class directory_repair
{
public:
    directory_repair(fleet_view const& fleet, std::minstd_rand& random) noexcept;

    /// \brief Requests rows from two peers from now on.
    void begin_refresh(state::time_point now);
    /// \brief Returns the next step that is due, if any; `has_list` says whether this VM has had a
    /// whole list of upstreams.
    [[nodiscard]] std::optional<repair_step> next(bool has_list, state::time_point now);
    /// \brief Records the end of a request to a peer.
    void answered(repair_reason reason, bool succeeded, bool brought_news, state::time_point now);

    /// \brief Time between two checks, of some 200 bytes each, drawn between half of it and all.
    /// Two fit into the seconds after which a VM is in touch again: the first peer may have missed
    /// the same.
    static constexpr state::duration check_interval = std::chrono::milliseconds{1'400};

private:
    [[nodiscard]] std::optional<repair_step> next_for_difference(bool has_list,
                                                                 state::time_point now);
    [[nodiscard]] std::optional<repair_step> next_check(state::time_point now);

    fleet_view const& fleet_;
    std::minstd_rand& random_;
    directory_sync sync_;
    refresh_requests refresh_;
    store_fallback fallback_;
    state::time_point check_at_{};
    bool is_checking_ = false;
};

} // namespace plumdale::coordination
