#pragma once

#include <plumdale/state/result.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief One HTTP exchange at a time with an entry VM.

namespace plumdale::plumctl
{

using http_header = std::pair<std::string, std::string>;

struct http_call
{
    std::string method = "GET";
    std::string target;
    std::vector<http_header> headers;
    std::string body;
};

/// \brief Status and headers of an answer, and its body unless that was streamed.
struct http_answer
{
    unsigned status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// \brief Returns the header's value or an empty string; `name` is in lower case.
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
};

/// \brief Called with the status and headers, before any part of the body.
using head_handler = std::function<void(http_answer const& head)>;
/// \brief Called with each part of a successful body as it arrives.
using body_handler = std::function<void(std::string_view part)>;

/// \brief Client of one entry VM; opens a new connection for each call.
class http_client
{
public:
    /// \brief `entry` is `IP:PORT`; a step that takes longer than `idle_timeout` fails.
    http_client(std::string entry, std::chrono::milliseconds idle_timeout);

    /// \brief Returns the whole answer, or `connection_failed`.
    [[nodiscard]] state::result<http_answer> call(http_call const& outgoing_call) const;
    /// \brief Like `call`, but passes a body with status 200 to `on_body` as it arrives.
    [[nodiscard]] state::result<http_answer> stream(http_call const& outgoing_call,
                                                    head_handler const& on_head,
                                                    body_handler const& on_body) const;
    [[nodiscard]] std::string const& entry() const noexcept;

private:
    std::string entry_;
    std::chrono::milliseconds idle_timeout_;
};

/// \brief Returns the failure that an answer with a status other than 200 reports.
[[nodiscard]] state::failure failure_of(http_answer const& answer);

} // namespace plumdale::plumctl
