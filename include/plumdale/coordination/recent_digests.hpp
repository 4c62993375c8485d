#pragma once

#include <plumdale/state/time.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// \brief Recent digests of this entry VM's directory.

namespace plumdale::coordination
{

/// \brief Remembers the latest digests and until when they held, so that a peer to which a change
/// is still on its way can be distinguished from one that knows more.
class recent_digests
{
public:
    /// \brief Records that the directory has had this digest since `now`.
    constexpr void add(std::uint64_t digest, state::time_point now) noexcept
    {
        rows_[newest_].left_at = now;
        newest_ = (newest_ + 1) % rows_.size();
        rows_[newest_] = {digest, state::never};
    }

    /// \brief Returns until when the directory last had this digest; none if it never had, or too
    /// many changes ago.
    [[nodiscard]] constexpr std::optional<state::time_point>
    left_at(std::uint64_t digest) const noexcept
    {
        std::optional<state::time_point> latest;
        for (row const& each : rows_)
        {
            bool const is_former =
                each.left_at != state::time_point{} && each.left_at != state::never;
            if (is_former && each.digest == digest)
            {
                latest = std::max(latest.value_or(each.left_at), each.left_at);
            }
        }
        return latest;
    }

private:
    struct row
    {
        std::uint64_t digest = 0;
        /// \brief The epoch in an unused row, `never` in the newest.
        state::time_point left_at{};
    };

    /// \brief Covers the time that a change takes to spread, with a hundred changes a second.
    static constexpr std::size_t capacity = 64;

    std::array<row, capacity> rows_{};
    std::size_t newest_ = 0;
};

} // namespace plumdale::coordination
