#include "admin_client.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <boost/json.hpp>

#include <iostream>
#include <map>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

/// One entry VM's status, or the failure to read it.
struct node_status
{
    std::string entry;
    json::value status;
    state::failure failed;
};

node_status read_status(admin_options const& options, std::string const& entry)
{
    node_status node{entry, {}, {}};
    auto const got = send_request(options, entry, {"GET", "/admin/status", {}, ""});
    if (!got)
    {
        node.failed = got.error();
    }
    else if (got.value().status != 200)
    {
        node.failed = failure_of(got.value());
    }
    else
    {
        node.status = parse_body(got.value().body);
    }
    return node;
}

json::value member(json::value const& from, char const* name)
{
    auto const* value = from.is_object() ? from.as_object().if_contains(name) : nullptr;
    return value == nullptr ? json::value{} : *value;
}

json::array array_member(json::value const& from, char const* name)
{
    json::value const value = member(from, name);
    return value.is_array() ? value.as_array() : json::array{};
}

void print_nodes(std::vector<node_status> const& nodes)
{
    std::vector<std::vector<std::string>> rows{
        {"ENTRY VM", "ID", "ZONE", "HEALTH", "PRESET STAMP", "IN FORCE", "PLATFORM", "IN FLIGHT"}};
    for (node_status const& node : nodes)
    {
        if (node.status.is_null())
        {
            rows.push_back(
                {node.entry, "-", "-", std::string{state::answer_for(node.failed.kind).name}});
            continue;
        }
        json::value const self = member(node.status, "node");
        bool const reachable = member_text(node.status, "platform_reachable") == "true";
        rows.push_back({node.entry, member_text(self, "id"), member_text(self, "zone"),
                        member_text(self, "health"), stamp_text(member(node.status, "stamp")),
                        stamp_text(member(node.status, "in_force")),
                        reachable ? "reachable" : "unreachable",
                        member_text(node.status, "in_flight")});
    }
    print_table(rows);
}

/// Names of zones by their ids; each entry VM in the list reports the name of its own zone.
using zone_names = std::map<std::string, std::string>;

zone_names read_zone_names(std::vector<node_status> const& nodes)
{
    zone_names names;
    for (node_status const& node : nodes)
    {
        std::string const name = member_text(member(node.status, "node"), "zone");
        names[protocol::to_hex(state::id_from_name<state::zone_id>(name).value)] = name;
    }
    return names;
}

std::string zone_text(json::value const& one, zone_names const& names)
{
    std::string const text = member_text(one, "zone");
    auto const found = names.find(text);
    return found == names.end() ? text : found->second;
}

void print_members(json::value const& status, zone_names const& names)
{
    std::vector<std::vector<std::string>> rows{{"MEMBER", "ZONE", "HEALTH", "DATAGRAMS"}};
    for (json::value const& one : array_member(status, "members"))
    {
        rows.push_back({member_text(one, "id"), zone_text(one, names), member_text(one, "health"),
                        member_text(one, "datagrams")});
    }
    std::cout << '\n';
    print_table(rows);
}

void print_upstreams(json::value const& status, zone_names const& names)
{
    std::vector<std::vector<std::string>> rows{{"UPSTREAM", "KIND", "ZONE", "MODEL", "ADDRESS",
                                                "ACCEPTING", "BLOCKS USED", "PROJECTED", "TOTAL",
                                                "RUNNING", "WAITING", "OWN IN FLIGHT"}};
    for (json::value const& one : array_member(status, "upstreams"))
    {
        rows.push_back({member_text(one, "name"), member_text(one, "kind"), zone_text(one, names),
                        member_text(one, "model"), member_text(one, "address"),
                        member_text(one, "accepting"), member_text(one, "blocks_used"),
                        member_text(one, "blocks_projected"), member_text(one, "blocks_total"),
                        member_text(one, "running"), member_text(one, "waiting"),
                        member_text(one, "in_flight")});
    }
    std::cout << '\n';
    print_table(rows);
}

json::object nodes_json(std::vector<node_status> const& nodes)
{
    json::object all;
    for (node_status const& node : nodes)
    {
        all[node.entry] = node.status.is_null()
                              ? json::value{{"error", state::answer_for(node.failed.kind).name}}
                              : node.status;
    }
    return all;
}

} // namespace

int run_status(arguments args)
{
    TCLAP::CmdLine line{"Shows each entry VM named, and the members and upstreams as the first "
                        "one that answers sees them.",
                        ' ', program_version};
    line.setExceptionHandling(false);
    admin_options options{line};
    line.parse(args);
    std::vector<node_status> nodes;
    for (std::string const& entry : options.entries.getValue())
    {
        nodes.push_back(read_status(options, entry));
    }
    node_status const* first = nullptr;
    for (node_status const& node : nodes)
    {
        first = first == nullptr && !node.status.is_null() ? &node : first;
    }
    if (options.json.getValue())
    {
        std::cout << json::serialize(nodes_json(nodes)) << std::endl;
    }
    else
    {
        print_nodes(nodes);
        if (first != nullptr)
        {
            zone_names const names = read_zone_names(nodes);
            print_members(first->status, names);
            print_upstreams(first->status, names);
        }
    }
    return first == nullptr ? state::answer_for(nodes.front().failed.kind).exit_code : 0;
}

} // namespace plumdale::plumctl
