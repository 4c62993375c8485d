#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/json_reader.hpp>
#include <plumdale/protocol/platform_codec.hpp>

#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace plumdale::protocol
{
namespace
{

using coordination::control_event;
using state::result;

constexpr std::uint64_t max_duration_ms = 3'600'000;
constexpr std::string_view preset_prefix = "presets/";

state::failure invalid(std::string detail)
{
    return {state::error_kind::invalid_request, std::move(detail)};
}

result<std::string> text_of(boost::json::object const& object, std::string_view name)
{
    boost::json::string const* const text = find_string(object, name);
    if (text == nullptr || text->empty())
    {
        return invalid(std::string{name} + ": a string is wanted");
    }
    return std::string{*text};
}

result<boost::json::array> list_of(boost::json::object const& object, std::string_view name)
{
    boost::json::value const* const member = object.if_contains({name.data(), name.size()});
    if (member == nullptr || !member->is_array())
    {
        return invalid(std::string{name} + ": a list is wanted");
    }
    return member->as_array();
}

result<boost::json::object> object_of(boost::json::value const& value)
{
    if (!value.is_object())
    {
        return invalid("an object is wanted");
    }
    return value.as_object();
}

result<state::endpoint> address_of(boost::json::object const& object)
{
    BOOST_OUTCOME_TRY(auto const text, text_of(object, "address"));
    auto const address = parse_endpoint(text);
    if (!address)
    {
        return invalid("address: ip:port is wanted, found " + text);
    }
    return *address;
}

state::duration milliseconds_or(boost::json::object const& object, std::string_view name,
                                state::duration otherwise)
{
    auto const default_ms = std::chrono::duration_cast<std::chrono::milliseconds>(otherwise);
    return std::chrono::milliseconds{
        number_or(object, name, static_cast<std::uint64_t>(default_ms.count()), max_duration_ms)};
}

// -- presets -----------------------------------------------------------------------------------

result<state::engine_role> role_of(boost::json::object const& object)
{
    BOOST_OUTCOME_TRY(auto const name, text_of(object, "role"));
    constexpr std::array<std::pair<std::string_view, state::engine_role>, 4> roles{
        {{"mixed", state::engine_role::mixed},
         {"drafts", state::engine_role::drafts},
         {"questions", state::engine_role::questions},
         {"idle", state::engine_role::idle}}};
    for (auto const& [known, role] : roles)
    {
        if (known == name)
        {
            return role;
        }
    }
    return invalid("role: mixed, drafts, questions or idle is wanted, found " + name);
}

result<state::engine_assignment> assignment_of(boost::json::value const& value)
{
    BOOST_OUTCOME_TRY(auto const object, object_of(value));
    BOOST_OUTCOME_TRY(auto const model, text_of(object, "model"));
    state::engine_assignment assignment;
    assignment.model = state::id_from_name<state::model_id>(model);
    BOOST_OUTCOME_TRY(assignment.role, role_of(object));
    assignment.percent = static_cast<std::uint32_t>(number_or(object, "percent", 100, 100));
    if (boost::json::string const* const version = find_string(object, "version"))
    {
        assignment.version = *version;
    }
    if (boost::json::string const* const adapter = find_string(object, "adapter"))
    {
        assignment.adapter = *adapter;
    }
    return assignment;
}

result<state::preset> preset_of(boost::json::object const& object)
{
    state::preset preset;
    BOOST_OUTCOME_TRY(preset.name, text_of(object, "name"));
    preset.overflow_chance = real_or(object, "overflow_chance", preset.overflow_chance);
    preset.question_headroom = real_or(object, "question_headroom", preset.question_headroom);
    preset.horizon = milliseconds_or(object, "horizon_ms", preset.horizon);
    preset.draft_wait = milliseconds_or(object, "draft_wait_ms", preset.draft_wait);
    preset.retry_after = milliseconds_or(object, "retry_after_ms", preset.retry_after);
    preset.max_batch =
        static_cast<std::uint32_t>(number_or(object, "max_batch", preset.max_batch, 4096));
    preset.retry_percent =
        static_cast<std::uint32_t>(number_or(object, "retry_percent", preset.retry_percent, 100));
    if (object.contains("assignments"))
    {
        BOOST_OUTCOME_TRY(auto const list, list_of(object, "assignments"));
        for (boost::json::value const& each : list)
        {
            BOOST_OUTCOME_TRY(auto assignment, assignment_of(each));
            preset.assignments.push_back(std::move(assignment));
        }
    }
    return preset;
}

// -- customers ---------------------------------------------------------------------------------

result<state::customer> customer_of(boost::json::value const& value)
{
    BOOST_OUTCOME_TRY(auto const object, object_of(value));
    state::customer customer;
    BOOST_OUTCOME_TRY(customer.name, text_of(object, "name"));
    BOOST_OUTCOME_TRY(auto const hex, text_of(object, "key_sha256"));
    auto const digest = parse_digest(hex);
    if (!digest)
    {
        return invalid("key_sha256: 64 hexadecimal digits are wanted");
    }
    customer.id = state::id_from_name<state::customer_id>(customer.name);
    customer.api_key = *digest;
    customer.weight = real_or(object, "weight", customer.weight);
    customer.token_rate_limit = real_or(object, "token_rate_limit", 0.0);
    customer.in_flight_limit =
        static_cast<std::uint32_t>(number_or(object, "in_flight_limit", 0, UINT32_MAX));
    return customer;
}

result<std::vector<state::customer>> customers_of(boost::json::object const& object)
{
    BOOST_OUTCOME_TRY(auto const list, list_of(object, "customers"));
    std::vector<state::customer> customers;
    for (boost::json::value const& each : list)
    {
        BOOST_OUTCOME_TRY(auto customer, customer_of(each));
        customers.push_back(std::move(customer));
    }
    return customers;
}

result<std::vector<state::operator_account>> operators_of(boost::json::object const& object)
{
    BOOST_OUTCOME_TRY(auto const list, list_of(object, "operators"));
    std::vector<state::operator_account> operators;
    for (boost::json::value const& each : list)
    {
        BOOST_OUTCOME_TRY(auto const account, object_of(each));
        BOOST_OUTCOME_TRY(auto name, text_of(account, "name"));
        BOOST_OUTCOME_TRY(auto const hex, text_of(account, "key_sha256"));
        auto const digest = parse_digest(hex);
        if (!digest)
        {
            return invalid("key_sha256: 64 hexadecimal digits are wanted");
        }
        operators.push_back(
            {state::id_from_name<state::operator_id>(name), std::move(name), *digest});
    }
    return operators;
}

// -- entries -----------------------------------------------------------------------------------

result<void> append_entry(boost::json::value const& value, configuration_changes& changes)
{
    BOOST_OUTCOME_TRY(auto const entry, object_of(value));
    BOOST_OUTCOME_TRY(auto const key, text_of(entry, "key"));
    std::uint64_t const revision = number_or(entry, "revision", 0);
    boost::json::value const* const content = entry.if_contains("value");
    BOOST_OUTCOME_TRY(
        auto events,
        decode_content(key, revision,
                       content == nullptr ? "null" : boost::json::serialize(*content)));
    std::move(events.begin(), events.end(), std::back_inserter(changes.events));
    return boost::outcome_v2::success();
}

result<state::upstream> upstream_of(boost::json::value const& value)
{
    BOOST_OUTCOME_TRY(auto const object, object_of(value));
    state::upstream upstream;
    BOOST_OUTCOME_TRY(upstream.address, address_of(object));
    BOOST_OUTCOME_TRY(auto const model, text_of(object, "model"));
    BOOST_OUTCOME_TRY(auto const zone, text_of(object, "zone"));
    boost::json::string const* const kind = find_string(object, "kind");
    bool const is_service = kind != nullptr && *kind == "service";
    upstream.kind = is_service ? state::upstream_kind::service : state::upstream_kind::engine;
    upstream.id = state::id_from_name<state::upstream_id>(to_text(upstream.address));
    upstream.model = state::id_from_name<state::model_id>(model);
    upstream.model_name = model;
    upstream.zone = state::id_from_name<state::zone_id>(zone);
    upstream.incarnation_number = state::incarnation{number_or(object, "uptime", 0)};
    upstream.leaving = flag_or(object, "leaving", false);
    upstream.fences_orders = flag_or(object, "fences_orders", true);
    boost::json::string const* const name = find_string(object, "name");
    upstream.name = name == nullptr ? to_text(upstream.address) : std::string{*name};
    return upstream;
}

} // namespace

state::result<configuration_changes> decode_configuration(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(body));
    BOOST_OUTCOME_TRY(auto const entries, list_of(object, "entries"));
    configuration_changes changes;
    changes.revision = number_or(object, "revision", 0);
    for (boost::json::value const& entry : entries)
    {
        BOOST_OUTCOME_TRYV(append_entry(entry, changes));
    }
    return changes;
}

state::result<std::vector<control_event>> decode_content(std::string_view key,
                                                         std::uint64_t revision, std::string text)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(text));
    auto const shared = std::make_shared<std::string const>(std::move(text));
    std::vector<control_event> events;
    if (key == "switch")
    {
        BOOST_OUTCOME_TRY(auto const preset, text_of(object, "preset"));
        events.emplace_back(coordination::switch_published{
            revision, state::id_from_name<state::preset_id>(preset)});
    }
    else if (key == "customers")
    {
        BOOST_OUTCOME_TRY(auto customers, customers_of(object));
        events.emplace_back(
            coordination::customers_published{revision, std::move(customers), shared});
    }
    else if (key == "operators")
    {
        BOOST_OUTCOME_TRY(auto operators, operators_of(object));
        events.emplace_back(
            coordination::operators_published{revision, std::move(operators), shared});
    }
    else if (key.starts_with(preset_prefix))
    {
        BOOST_OUTCOME_TRY(auto preset, preset_of(object));
        events.emplace_back(coordination::preset_published{revision, std::move(preset), shared});
    }
    return events;
}

state::result<coordination::vm_list_read> decode_vm_list(std::string_view body)
{
    BOOST_OUTCOME_TRY(auto const object, parse_object(body));
    BOOST_OUTCOME_TRY(auto const upstreams, list_of(object, "upstreams"));
    coordination::vm_list_read list;
    for (boost::json::value const& each : upstreams)
    {
        BOOST_OUTCOME_TRY(auto upstream, upstream_of(each));
        list.upstreams.push_back(std::move(upstream));
    }
    if (object.contains("entry_vms"))
    {
        BOOST_OUTCOME_TRY(auto const entry_vms, list_of(object, "entry_vms"));
        for (boost::json::value const& each : entry_vms)
        {
            BOOST_OUTCOME_TRY(auto const vm, object_of(each));
            BOOST_OUTCOME_TRY(auto const address, address_of(vm));
            list.entry_vms.push_back(address);
        }
    }
    return list;
}

} // namespace plumdale::protocol
