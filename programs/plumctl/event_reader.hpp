#pragma once

#include <functional>
#include <string>
#include <string_view>

/// \file
/// \brief Parser of server-sent events that arrive in parts of a body.

namespace plumdale::plumctl
{

struct server_event
{
    std::string id;
    std::string name; ///< The event's type; empty when it has none.
    std::string data;
};

/// \brief Collects lines and reports each complete event; an incomplete event is never reported.
class event_reader
{
public:
    explicit event_reader(std::function<void(server_event const&)> on_event);

    void feed(std::string_view part);

private:
    void process_line(std::string_view line);

    std::function<void(server_event const&)> on_event_;
    std::string line_;
    server_event event_;
};

} // namespace plumdale::plumctl
