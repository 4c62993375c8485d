#include "process.hpp"

#include <plumdale/state/error_kind.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::system_tests;

namespace
{

std::optional<int> exit_code(std::vector<std::string> const& args)
{
    process tool{"plumctl", args};
    return tool.wait();
}

int code_of(state::error_kind kind)
{
    return state::answer_for(kind).exit_code;
}

// Nothing listens on the discard port of loopback.
constexpr char const* unreachable_address = "127.0.0.1:9";

} // namespace

TEST_CASE("each command prints its help", "[plumctl]")
{
    std::string const command =
        GENERATE("check", "status", "preset", "generate", "drain", "report");
    CHECK(exit_code({command, "--help"}) == 0);
}

TEST_CASE("wrong usage ends with the code of an invalid request", "[plumctl]")
{
    int const invalid = code_of(state::error_kind::invalid_request);
    CHECK(exit_code({}) == invalid);
    CHECK(exit_code({"no-such-command"}) == invalid);
    CHECK(exit_code({"status"}) == invalid);
    CHECK(exit_code({"preset", "switch", "--entry", unreachable_address}) == invalid);
    CHECK(exit_code({"status", "--entry", "no address"}) == invalid);
}

TEST_CASE("an entry VM that can't be reached has its own code", "[plumctl]")
{
    int const failed = code_of(state::error_kind::connection_failed);
    CHECK(exit_code({"status", "--entry", unreachable_address}) == failed);
    CHECK(exit_code({"drain", "--entry", unreachable_address, "--json"}) == failed);
    CHECK(exit_code({"generate", "--entry", unreachable_address, "--prompt", "x"}) == failed);
}

TEST_CASE("settings that can't be read are invalid", "[plumctl]")
{
    CHECK(exit_code({"check", "/no/such/file"}) == code_of(state::error_kind::settings_invalid));
}
