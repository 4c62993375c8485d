#pragma once

#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>

/// \file
/// \brief How long callers of a route usually wait, and who has waited before.

namespace plumdale::coordination
{

/// \brief Recognizes calls that were refused before by the time that is left to them.
///
/// Each attempt of a caller has an id of its own; only its time left shows that there was an
/// earlier one. The median of the last calls is what callers have from the start, as long as less
/// than half of them come back; a few that wait much longer don't move it. Example:
/// \code
/// usual_patience patience;
/// bool const came_back = patience.note(time_left);
/// \endcode
class usual_patience
{
public:
    /// \brief Notes a call; returns whether it has clearly less time than is usual.
    bool note(state::duration time_left) noexcept;

    /// \brief Calls that the median is taken of.
    static constexpr std::size_t remembered = 15;
    /// \brief Part of the usual time below which a call has waited before. Callers that are told to
    /// come back do so after a twelfth of their time at least.
    static constexpr double nearly_whole = 0.95;

private:
    std::array<state::duration, remembered> last_{};
    std::size_t count_ = 0;
};

} // namespace plumdale::coordination
