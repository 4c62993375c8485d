#include "fleet_traffic.hpp"

#include <string_view>

namespace plumdale::transport
{
namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(message_kind::count)> kind_names{
    "membership", "status",     "load",          "upstreams", "evidence",
    "limits",     "suspicions", "configuration", "directory"};

void write_header(std::string& out, std::string_view name, std::string_view help)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" counter\n");
}

void write_row(std::string& out, std::string_view name, std::string_view kind,
               std::string_view direction, std::uint64_t value)
{
    out.append(name).append("{kind=\"").append(kind).append("\",direction=\"");
    out.append(direction).append("\"} ").append(std::to_string(value)).append("\n");
}

} // namespace

message_kind kind_of(coordination::fleet_update const& update) noexcept
{
    if (!update.evidence.empty() || !update.parts.empty() || update.requests_evidence)
    {
        return message_kind::evidence;
    }
    if (!update.limits.empty())
    {
        return message_kind::limits;
    }
    if (!update.members.empty())
    {
        return message_kind::upstreams;
    }
    if (!update.suspicions.empty() || !update.zone_reach.empty())
    {
        return message_kind::suspicions;
    }
    bool const is_change = !update.whole && !update.loads.empty();
    return is_change ? message_kind::load : message_kind::status;
}

std::string fleet_traffic::summary() const
{
    std::string out;
    for (std::size_t i = 0; i < kind_names.size(); ++i)
    {
        out.append(out.empty() ? "" : " ").append(kind_names[i]).append(" ");
        out.append(std::to_string(sent_[i].bytes)).append("/");
        out.append(std::to_string(received_[i].bytes));
    }
    return out;
}

std::string fleet_traffic::text() const
{
    constexpr std::string_view messages = "plumdale_forward_fleet_messages_total";
    constexpr std::string_view bytes = "plumdale_forward_fleet_bytes_total";
    std::string out;
    write_header(out, messages, "Messages exchanged with other entry VMs, by kind.");
    for (std::size_t i = 0; i < kind_names.size(); ++i)
    {
        write_row(out, messages, kind_names[i], "sent", sent_[i].messages);
        write_row(out, messages, kind_names[i], "received", received_[i].messages);
    }
    write_header(out, bytes, "Bytes exchanged with other entry VMs, without headers, by kind.");
    for (std::size_t i = 0; i < kind_names.size(); ++i)
    {
        write_row(out, bytes, kind_names[i], "sent", sent_[i].bytes);
        write_row(out, bytes, kind_names[i], "received", received_[i].bytes);
    }
    return out;
}

} // namespace plumdale::transport
