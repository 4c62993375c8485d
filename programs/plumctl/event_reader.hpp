#pragma once

#include <functional>
#include <string>
#include <string_view>

/// \file
/// \brief Server-sent events from parts of a body.

namespace plumdale::plumctl
{

struct server_event
{
    std::string id;
    std::string name; ///< Empty unless the event has a type.
    std::string data;
};

/// \brief Collects lines and tells of each whole event. A cut event is never told.
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
