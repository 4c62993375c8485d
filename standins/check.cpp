#include "answer_check.hpp"
#include "commands.hpp"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;

std::vector<received_token> read_tokens(json::object const& answer)
{
    std::vector<received_token> tokens;
    for (json::value const& token : answer.at("tokens").as_array())
    {
        tokens.push_back(
            {std::string{token.at("id").as_string()}, std::string{token.at("text").as_string()}});
    }
    return tokens;
}

} // namespace

int run_check(arguments args)
{
    TCLAP::CmdLine line{"Checks an answer that plumctl generate --json wrote.", ' ', "0.1"};
    TCLAP::ValueArg<std::uint32_t> expected{"",  "tokens", "expected number of tokens", true, 0,
                                            "N", line};
    TCLAP::UnlabeledValueArg<std::string> file{"file", "the answer", true, "", "FILE", line};
    line.parse(args);
    std::ifstream in{file.getValue()};
    std::string const text{std::istreambuf_iterator<char>{in}, {}};
    boost::system::error_code malformed;
    json::value const answer = json::parse(text, malformed);
    std::string fault = malformed || !answer.is_object() || !answer.as_object().contains("tokens")
                            ? "not an answer"
                            : check_answer(read_tokens(answer.as_object()), expected.getValue());
    if (fault.empty() && !answer.at("whole").as_bool())
    {
        fault = "the answer is incomplete";
    }
    std::cout << file.getValue() << ": "
              << (fault.empty() ? "whole, in order and from one generation" : fault) << std::endl;
    return fault.empty() ? 0 : 1;
}

} // namespace plumdale::standins
