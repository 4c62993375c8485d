#include "commands.hpp"
#include "generate_session.hpp"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;

json::object answer_json(generate_answer const& answer)
{
    json::array tokens;
    for (token_event const& token : answer.tokens)
    {
        tokens.push_back(json::object{{"id", token.id}, {"text", token.text}});
    }
    return {{"generation", answer.generation},   {"upstream", answer.upstream},
            {"whole", answer.complete},          {"count", answer.next_index},
            {"attachments", answer.attachments}, {"tokens", std::move(tokens)}};
}

generate_listener make_listener(bool quiet)
{
    if (quiet)
    {
        return {[](std::string const&) {},
                [](std::string const&) {
                }};
    }
    return {[](std::string const& text) { std::cout << text << std::flush; },
            [](std::string const& diagnostic)
            {
                std::cerr << "\nplumctl: " << diagnostic << '\n';
            }};
}

int finish(generate_answer const& answer, std::optional<state::failure> const& failed, bool as_json)
{
    if (as_json)
    {
        json::object shown = answer_json(answer);
        int code = 0;
        if (failed)
        {
            state::error_answer const& row = state::answer_for(failed->kind);
            shown["error"] = json::object{
                {"kind", row.name}, {"claim", claim_name(row.claim)}, {"detail", failed->detail}};
            code = row.exit_code;
        }
        std::cout << json::serialize(shown) << std::endl;
        return code;
    }
    std::cout << std::endl;
    std::cerr << "plumctl: " << answer.generation << ": " << answer.next_index << " tokens from "
              << answer.upstream << '\n';
    return failed ? report_failure(*failed, false) : 0;
}

} // namespace

int run_generate(arguments args)
{
    TCLAP::CmdLine line{"Runs a generation and streams its tokens. When an entry VM dies, attaches "
                        "again through the next one.",
                        ' ', program_version};
    line.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> entries{"",   "entry",   "an entry VM; may be repeated",
                                         true, "IP:PORT", line};
    TCLAP::ValueArg<std::string> key_file{
        "", "key-file", "file with the API key (else PLUMDALE_API_KEY)", false, "", "FILE", line};
    TCLAP::ValueArg<std::string> model{"m", "model", "model", false, "lists", "NAME", line};
    TCLAP::ValueArg<std::string> kind{"k",    "kind", "question or draft", false, "question",
                                      "KIND", line};
    TCLAP::ValueArg<std::string> prompt{"p", "prompt", "the prompt", false, "", "TEXT", line};
    TCLAP::ValueArg<std::uint32_t> tokens{"", "max-tokens", "0 sets none", false, 0, "N", line};
    TCLAP::ValueArg<std::string> repeatable{
        "", "repeatable", "true or false; by default the kind decides", false, "", "BOOL", line};
    TCLAP::ValueArg<std::string> idempotency{"", "idempotency-key", "", false, "", "TEXT", line};
    TCLAP::ValueArg<std::uint32_t> attempt{
        "", "attempt", "number of attempts under the key", false, 0, "N", line};
    TCLAP::ValueArg<std::string> generation{
        "g", "generation", "attach to this identity", false, "", "ID", line};
    TCLAP::ValueArg<std::string> last{
        "", "last-event-id", "last event received; attaches after it", false, "", "ID", line};
    TCLAP::SwitchArg one_call{"", "one-call", "do not reserve an identity first", line};
    TCLAP::ValueArg<int> idle_timeout{
        "", "idle-ms", "longest wait for data from an entry VM", false, 10'000, "MS", line};
    TCLAP::ValueArg<int> attach_timeout{
        "", "patience-ms", "time limit for attaching again", false, 60'000, "MS", line};
    TCLAP::SwitchArg as_json{"", "json", "one JSON object at the end", line};
    line.parse(args);

    generate_options options;
    options.entries = entries.getValue();
    options.key = read_key(key_file.getValue(), "PLUMDALE_API_KEY");
    options.model = model.getValue();
    options.kind = kind.getValue();
    options.prompt = prompt.getValue();
    options.max_tokens = tokens.getValue();
    options.repeatable = repeatable.getValue();
    options.idempotency_key = idempotency.getValue();
    options.attempt = attempt.getValue();
    options.generation = generation.getValue();
    options.last_event_id = last.getValue();
    options.one_call = one_call.getValue();
    options.idle_timeout = std::chrono::milliseconds{idle_timeout.getValue()};
    options.attach_timeout = std::chrono::milliseconds{attach_timeout.getValue()};
    generate_session session{std::move(options), make_listener(as_json.getValue())};
    auto const failed = session.run();
    return finish(session.answer(), failed, as_json.getValue());
}

} // namespace plumdale::plumctl
