#pragma once

#include "running_draft.hpp"

#include <memory>
#include <string>
#include <string_view>

/// \file
/// \brief A draft whose upstream leaves, and which this VM moves elsewhere.

namespace plumdale::test
{

/// \brief The draft `id-1` without a backup; its upstream leaves and works on until it is ordered
/// to stop, and breaks nothing off by itself.
struct moved_draft
{
    explicit moved_draft(forward_fixture& under_test);

    /// \brief Answers the order of the first copy, which is written within the notice.
    void copy_first();
    /// \brief Waits for the order to stop, and carries it out without an answer.
    void stop();
    /// \brief Answers the order to stop.
    void answer_stop();
    /// \brief Returns the upstream that the newest first copy goes to.
    [[nodiscard]] scripted_upstream& destination() const;
    /// \brief Refuses each resumption for `time`; returns how many were refused.
    std::size_t refuse_resumptions_for(state::duration time);
    /// \brief Has the next resumption run to its end, and the caller receive it.
    void resume_to_end();
    /// \brief Returns whether the caller has the whole draft.
    [[nodiscard]] bool is_whole() const;
    void run_for(state::duration time) const;

    forward_fixture& fixture;
    running_draft draft;
    /// \brief The order to stop.
    std::shared_ptr<scripted_connection> order;
};

inline constexpr std::string_view first_copy_order = "\"isLast\":false";
inline constexpr std::string_view stop_order = "\"isLast\":true";
inline constexpr std::string_view resumption = "Kv-From: ";

} // namespace plumdale::test
