#include "admin_client.hpp"

#include <boost/json.hpp>

#include <iostream>

namespace plumdale::plumctl
{

int run_drain(arguments args)
{
    TCLAP::CmdLine line{"Shuts the entry VMs named down gracefully: each finishes what it has and "
                        "refuses new work as not run.",
                        ' ', program_version};
    line.setExceptionHandling(false);
    admin_options options{line};
    line.parse(args);
    bool const as_json = options.json.getValue();
    int code = 0;
    boost::json::object answers;
    for (std::string const& entry : options.entries.getValue())
    {
        auto const got = send_request(options, entry, {"POST", "/admin/drain", {}, "{}"});
        if (!got || got.value().status != 200)
        {
            code = report_failure(got ? failure_of(got.value()) : got.error(), as_json);
            continue;
        }
        boost::json::value const answer = parse_body(got.value().body);
        answers[entry] = answer;
        if (!as_json)
        {
            std::cout << entry << ": draining, " << member_text(answer, "in_flight")
                      << " requests in flight\n";
        }
    }
    if (as_json && code == 0)
    {
        std::cout << boost::json::serialize(answers) << std::endl;
    }
    return code;
}

} // namespace plumdale::plumctl
