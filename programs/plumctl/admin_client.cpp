#include "admin_client.hpp"

#include <boost/json.hpp>

namespace plumdale::plumctl
{

namespace json = boost::json;

admin_options::admin_options(TCLAP::CmdLine& line)
    : entries{"", "entry", "an entry VM; may be repeated", true, "IP:PORT", line},
      key_file{"",    "key-file", "file with the operator key (else PLUMDALE_OPERATOR_KEY)",
               false, "",         "FILE",
               line},
      idle_timeout{"", "idle-ms", "longest wait for an answer", false, 5'000, "MS", line},
      json{"", "json", "print JSON", line}
{
}

state::result<http_answer> send_request(admin_options const& options, std::string const& entry,
                                        http_call call)
{
    std::string const key = read_key(options.key_file.getValue(), "PLUMDALE_OPERATOR_KEY");
    call.headers.emplace_back("Authorization", "Bearer " + key);
    call.headers.emplace_back("Content-Type", "application/json");
    std::chrono::milliseconds const idle_timeout{options.idle_timeout.getValue()};
    return http_client{entry, idle_timeout}.call(call);
}

state::result<http_answer> send_to_any_entry(admin_options const& options, http_call const& call)
{
    state::failure last{state::error_kind::connection_failed, "no entry VM given"};
    for (std::string const& entry : options.entries.getValue())
    {
        auto got = send_request(options, entry, call);
        if (got)
        {
            return got;
        }
        last = got.error();
    }
    return last;
}

std::string member_text(json::value const& from, char const* name)
{
    auto const* value = from.is_object() ? from.as_object().if_contains(name) : nullptr;
    if (value == nullptr)
    {
        return "-";
    }
    return value->is_string() ? std::string{value->as_string()} : json::serialize(*value);
}

json::value parse_body(std::string const& body)
{
    boost::system::error_code malformed;
    json::value value = json::parse(body, malformed);
    return malformed ? json::value{} : value;
}

std::string stamp_text(json::value const& stamp)
{
    return member_text(stamp, "revision") + "." + member_text(stamp, "count") + " " +
           member_text(stamp, "preset");
}

} // namespace plumdale::plumctl
