#pragma once

#include "forward_fixture.hpp"
#include "running_draft.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

/// \file
/// \brief A draft whose answer ends with its connection, and what its upstream says of that end.

namespace plumdale::test
{

/// \brief The end of an answer in chunks: what a caller takes for the end of its stream.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";
/// \brief What only an order to stop a run has.
inline constexpr std::string_view stop_order = "\"isLast\":true";

/// \brief Returns the head of an answer that ends with its connection.
[[nodiscard]] std::string closed_head(std::string_view id);
/// \brief Returns an event as it stands in an answer without chunks.
[[nodiscard]] std::string event(int id);
[[nodiscard]] std::string id_field(std::string_view id);

/// \brief The draft `id-1`, without length or chunks, which has produced three events.
struct closed_draft
{
    explicit closed_draft(forward_fixture& fixture);

    [[nodiscard]] bool has_event(int id) const;
    /// \brief Returns whether its caller was told that it is complete.
    [[nodiscard]] bool is_complete() const;
    /// \brief Lets its upstream say that it lives, and waits until the caller is told the end.
    void run_until_complete(forward_fixture& fixture) const;

    std::shared_ptr<scripted_caller> caller;
    scripted_upstream* source;
    /// \brief The connection on which the upstream sends its events.
    std::shared_ptr<scripted_connection> stream;
};

/// \brief Lets an upstream say that it lives whenever it is asked, until `condition` holds.
void run_with_reports(forward_fixture& fixture, scripted_upstream& upstream,
                      std::function<bool()> const& condition);
/// \brief Has a leaving upstream copy the draft, and returns the connection of the order to stop
/// it.
std::shared_ptr<scripted_connection> order_stop(forward_fixture& fixture,
                                                closed_draft const& draft);
/// \brief Answers requests of an upstream, each once.
class request_answers
{
public:
    explicit request_answers(scripted_upstream& upstream) : upstream_{upstream} {}

    /// \brief Sends `answer` to each request that holds `text` and has none yet.
    void send(std::string_view text, std::string_view answer);
    /// \brief Leaves a request without an answer.
    void skip(std::shared_ptr<scripted_connection> request);

private:
    scripted_upstream& upstream_;
    std::set<std::shared_ptr<scripted_connection>> answered_;
};

/// \brief Asks an upstream for its report.
inline constexpr std::string_view report_question = "GET /v1/report ";
/// \brief Lets time pass.
void run_for(forward_fixture& fixture, state::duration time);

} // namespace plumdale::test
