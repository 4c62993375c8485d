#pragma once

#include "http_fetch.hpp"
#include "net.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

/// \file
/// \brief Asks a plain service whether it lives on after it closed a connection.

namespace plumdale::transport
{

/// \brief Asks the service at an address whether its process lives, at growing pauses until it
/// answers, refuses a connection, or the question is destroyed.
///
/// Example:
/// \code
/// question = std::make_shared<service_question>(context, address, [](bool lived_on) { … });
/// question->ask();
/// \endcode
class service_question : public std::enable_shared_from_this<service_question>
{
public:
    using answer_handler = std::function<void(bool)>;

    /// \brief `on_answer` is called at most once, later, and not after the question is destroyed.
    service_question(net::io_context& context, state::endpoint address, answer_handler on_answer);

    service_question(service_question const&) = delete;
    service_question& operator=(service_question const&) = delete;
    ~service_question();

    void ask();

    /// \brief Before a question is repeated, as the path may have lost it; doubled each time.
    static constexpr std::chrono::milliseconds first_pause{200};
    static constexpr std::chrono::milliseconds max_pause{2'000};
    /// \brief For how long the answer to each question is listened to: longer than callers wait.
    static constexpr std::chrono::milliseconds timeout{120'000};

private:
    void on_result(state::result<fetch_answer> const& answer);
    void end(bool lived_on);

    net::io_context& context_;
    state::endpoint address_;
    answer_handler on_answer_;
    net::steady_timer timer_;
    std::chrono::milliseconds pause_ = first_pause;
    std::vector<fetch_canceller> open_;
};

} // namespace plumdale::transport
