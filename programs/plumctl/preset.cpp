#include "admin_client.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <boost/json.hpp>

#include <array>
#include <iostream>
#include <string_view>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

int show_answer(http_answer const& answer, bool as_json)
{
    if (answer.status != 200)
    {
        return report_failure(failure_of(answer), as_json);
    }
    std::cout << answer.body << std::endl;
    return 0;
}

int list_presets(admin_options const& options, std::string const&)
{
    auto const got = send_to_any_entry(options, {"GET", "/admin/status", {}, ""});
    bool const as_json = options.json.getValue();
    if (!got || got.value().status != 200)
    {
        return report_failure(got ? failure_of(got.value()) : got.error(), as_json);
    }
    json::value const status = parse_body(got.value().body);
    auto const* presets = status.is_object() ? status.as_object().if_contains("presets") : nullptr;
    auto const* in_force =
        status.is_object() ? status.as_object().if_contains("in_force") : nullptr;
    if (presets == nullptr || in_force == nullptr || !presets->is_array())
    {
        return report_failure({state::error_kind::internal, "the status lacks presets"}, as_json);
    }
    if (as_json)
    {
        std::cout << json::serialize(json::object{{"presets", *presets}, {"in_force", *in_force}})
                  << std::endl;
        return 0;
    }
    for (json::value const& name : presets->as_array())
    {
        std::string const text = name.is_string() ? std::string{name.as_string()} : "?";
        std::cout << (text == member_text(*in_force, "preset") ? "* " : "  ") << text << '\n';
    }
    return 0;
}

int show_preset(admin_options const& options, std::string const& name)
{
    auto const got = send_to_any_entry(options, {"GET", "/admin/presets/" + name, {}, ""});
    return got ? show_answer(got.value(), options.json.getValue())
               : report_failure(got.error(), options.json.getValue());
}

// The answer has the id of the preset in force, which is another preset when a later switch won.
void print_switch(json::value const& answer, std::string const& wanted)
{
    auto const* stamp = answer.as_object().if_contains("stamp");
    std::string text = stamp_text(stamp == nullptr ? json::value{} : *stamp);
    std::string const id = protocol::to_hex(state::id_from_name<state::preset_id>(wanted).value);
    if (std::size_t const at = text.find(id); at != std::string::npos)
    {
        text.replace(at, id.size(), wanted);
    }
    std::cout << "in force: " << text << "\nheld by:  " << member_text(answer, "holders")
              << "\nzones without a known holder: " << member_text(answer, "zones_missing") << '\n';
}

int switch_preset(admin_options const& options, std::string const& name)
{
    std::string const body = json::serialize(json::object{{"preset", name}});
    auto const got = send_to_any_entry(options, {"POST", "/admin/preset", {}, body});
    bool const as_json = options.json.getValue();
    if (!got)
    {
        return report_failure(got.error(), as_json);
    }
    json::value const answer = parse_body(got.value().body);
    bool const has_outcome = answer.is_object() && answer.as_object().contains("outcome");
    if (as_json && has_outcome)
    {
        std::cout << got.value().body << std::endl;
    }
    else if (has_outcome)
    {
        print_switch(answer, name);
    }
    if (got.value().status == 200)
    {
        return 0;
    }
    if (!has_outcome)
    {
        return report_failure(failure_of(got.value()), as_json);
    }
    state::error_answer const* const row = state::find_answer(member_text(answer, "outcome"));
    state::failure const failed{row == nullptr ? state::error_kind::internal : row->kind, ""};
    return as_json ? state::answer_for(failed.kind).exit_code : report_failure(failed, false);
}

struct preset_command
{
    std::string_view name;
    bool takes_preset;
    int (*run)(admin_options const& options, std::string const& preset);
};

constexpr std::array preset_commands{preset_command{"list", false, &list_presets},
                                     preset_command{"show", true, &show_preset},
                                     preset_command{"switch", true, &switch_preset}};

} // namespace

int run_preset(arguments args)
{
    TCLAP::CmdLine line{"Lists, shows or switches presets. A switch reaches the first entry VM "
                        "that answers; it is accepted when enough others hold it.",
                        ' ', program_version};
    line.setExceptionHandling(false);
    admin_options options{line};
    TCLAP::UnlabeledValueArg<std::string> action{
        "action", "list, show or switch", true, "", "ACTION", line};
    TCLAP::UnlabeledValueArg<std::string> preset{"preset", "its name", false, "", "PRESET", line};
    line.parse(args);
    for (preset_command const& known : preset_commands)
    {
        if (known.name == action.getValue() && known.takes_preset == preset.isSet())
        {
            return known.run(options, preset.getValue());
        }
    }
    return report_failure(
        {state::error_kind::invalid_request, "use: list, show PRESET or switch PRESET"},
        options.json.getValue());
}

} // namespace plumdale::plumctl
