#pragma once

#include "forward_core.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

/// \file
/// \brief Asks an upstream whether it lives on after it closed a connection.

namespace plumdale::transport
{

/// \brief Asks the upstream that had a run for a report, and says whether the process of that run
/// answered.
///
/// Example:
/// \code
/// question = std::make_shared<end_question>(core, subject, [](bool lived_on) { … });
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

    /// \brief `on_answer` is called once, later; it must not be called after its owner is gone.
    end_question(forward_core& core, subject asked, answer_handler on_answer);

    void start();

    /// \brief How long the upstream has to answer.
    static constexpr std::chrono::milliseconds timeout{300};
    /// \brief Questions that may get no answer: the way to the upstream may lose packets.
    static constexpr std::uint32_t max_unanswered = 3;
    /// \brief Before a question is repeated; doubled each time. An upstream with too many
    /// connections resets new ones at once.
    static constexpr state::duration repeat_delay = std::chrono::milliseconds{100};
    /// \brief Reports are half a second old: a process that states less than this may be past its
    /// time, and answers while it ends.
    static constexpr state::duration last_moments = std::chrono::milliseconds{600};

private:
    void on_result(state::result<fetch_answer> const& answer);
    void ask_again_in(state::duration delay);
    void end(bool lived_on, std::string_view why);
    /// \brief Returns whether the process that had the run answered, and stays.
    [[nodiscard]] bool shows_life(fetch_answer const& answer) const;

    forward_core& core_;
    subject subject_;
    answer_handler on_answer_;
    net::steady_timer timer_;
    std::uint32_t unanswered_ = 0;
};

} // namespace plumdale::transport
