#pragma once

#include <plumdale/state/time.hpp>

#include <random>

/// \file
/// \brief When an entry VM that lacks upstreams requests them from a peer.

namespace plumdale::coordination
{

/// \brief Paces the requests: one at a time, and ever less often while answers bring nothing new.
///
/// Example:
/// \code
/// if (sync.is_due(now)) { sync.requested(); request rows from a peer }
/// sync.answered(brought_rows, now);
/// \endcode
class directory_sync
{
public:
    explicit directory_sync(std::minstd_rand& random) noexcept : random_{random} {}

    /// \brief Returns whether a request may be sent now.
    [[nodiscard]] bool is_due(state::time_point now) const noexcept
    {
        return !outstanding_ && now >= next_request_at_;
    }
    void requested() noexcept
    {
        outstanding_ = true;
    }
    /// \brief Records the end of a request; `is_new` says whether its answer brought anything new.
    void answered(bool is_new, state::time_point now);

    /// \brief Longest pause after an answer that brought something.
    static constexpr state::duration min_pause = std::chrono::milliseconds{200};
    /// \brief Longest pause after answers that brought nothing.
    static constexpr state::duration max_pause = std::chrono::seconds{2};

private:
    std::minstd_rand& random_;
    state::duration pause_ = min_pause;
    state::time_point next_request_at_{};
    bool outstanding_ = false;
};

} // namespace plumdale::coordination
