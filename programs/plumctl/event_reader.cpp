#include "event_reader.hpp"

#include <utility>

namespace plumdale::plumctl
{
namespace
{

bool append_field(std::string_view line, std::string_view name, std::string& value)
{
    if (line.substr(0, name.size()) != name)
    {
        return false;
    }
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ')
    {
        line.remove_prefix(1);
    }
    value += line;
    return true;
}

} // namespace

event_reader::event_reader(std::function<void(server_event const&)> on_event)
    : on_event_{std::move(on_event)}
{
}

void event_reader::feed(std::string_view part)
{
    for (char const c : part)
    {
        if (c == '\n')
        {
            process_line(line_);
            line_.clear();
        }
        else if (c != '\r')
        {
            line_ += c;
        }
    }
}

void event_reader::process_line(std::string_view line)
{
    if (!line.empty())
    {
        static_cast<void>(append_field(line, "id:", event_.id) ||
                          append_field(line, "event:", event_.name) ||
                          append_field(line, "data:", event_.data));
        return;
    }
    if (!event_.data.empty())
    {
        on_event_(event_);
    }
    event_ = {};
}

} // namespace plumdale::plumctl
