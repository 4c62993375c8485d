#pragma once

#include "forward_core.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Asks an upstream whether it lives on after it closed a connection.

namespace plumdale::transport
{

/// \brief Asks the upstream that had a run for a report, and says whether the process of that run
/// answered.
///
/// A process that answers late lives: the question is asked again at growing pauses, each is
/// listened to until the time of its owner is over, and any answer counts. Its owner ends a
/// question that stays without one. Example:
/// \code
/// question = std::make_shared<end_question>(core, subject, until, [](bool lived_on) { … });
/// question->start();
/// \endcode
class end_question : public std::enable_shared_from_this<end_question>
{
public:
    /// \brief The process that had the run.
    struct subject
    {
        /// \brief The call's id, for the log.
        std::string call;
        state::member_key member;
        std::string name;
        /// \brief Where the run is; the directory may list another place meanwhile.
        state::endpoint address;
        /// \brief Its start; zero if that isn't known.
        state::incarnation started;
    };
    using answer_handler = std::function<void(bool)>;

    /// \brief `on_answer` is called once, later, unless nothing answers before `until` or the
    /// question is destroyed.
    end_question(forward_core& core, subject asked, state::time_point until,
                 answer_handler on_answer);

    end_question(end_question const&) = delete;
    end_question& operator=(end_question const&) = delete;
    ~end_question();

    void start();

    /// \brief Before a question is repeated that may still be answered; doubled each time.
    static constexpr state::duration first_pause = std::chrono::milliseconds{200};
    /// \brief Before one is repeated that is lost; doubled each time. An upstream with too many
    /// connections resets new ones at once.
    static constexpr state::duration first_pause_after_loss = std::chrono::milliseconds{100};
    static constexpr state::duration max_pause = std::chrono::seconds{2};
    /// \brief Reports are half a second old: a process that states less than this may be past its
    /// time, and answers while it ends.
    static constexpr state::duration last_moments = std::chrono::milliseconds{600};

private:
    void ask();
    void on_result(state::result<fetch_answer> const& answer);
    /// \brief Asks again at `at` if that is before the end.
    void ask_again_at(state::time_point at);
    /// \brief A question was lost: asks again earlier than after one that may still be answered.
    void ask_again_after_loss();
    void end(bool lived_on, std::string_view why);
    /// \brief Returns whether the process that had the run answered, and stays.
    [[nodiscard]] bool shows_life(fetch_answer const& answer) const;

    forward_core& core_;
    subject subject_;
    state::time_point until_;
    answer_handler on_answer_;
    net::steady_timer timer_;
    state::duration pause_ = first_pause;
    state::duration pause_after_loss_ = first_pause_after_loss;
    state::time_point next_at_ = state::never;
    std::uint32_t asked_ = 0;
    /// \brief Ends the questions that have no answer.
    std::vector<fetch_canceller> open_;
    bool ended_ = false;
};

} // namespace plumdale::transport
