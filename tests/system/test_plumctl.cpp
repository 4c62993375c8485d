#include "process.hpp"

#include <plumdale/state/error_kind.hpp>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <unistd.h>

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

/// \brief A settings file that is removed at the end of the test.
class settings_file
{
public:
    explicit settings_file(std::string_view text)
        : path_{std::filesystem::temp_directory_path() /
                ("plumdale-check-" + std::to_string(::getpid()) + ".json")}
    {
        std::ofstream{path_} << text;
    }
    settings_file(settings_file const&) = delete;
    settings_file& operator=(settings_file const&) = delete;
    ~settings_file()
    {
        std::error_code ignored;
        std::filesystem::remove(path_, ignored);
    }

    [[nodiscard]] std::string path() const
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

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

TEST_CASE("the check of a forwarding VM's settings shows its load parts", "[plumctl]")
{
    settings_file const file{
        R"({"mode":"forward","name":"vm-1","zone":"a","callers":"10.0.0.1:80",)"
        R"("ready":"10.0.0.1:81","datagrams":"10.0.0.1:72","streams":"10.0.0.1:72",)"
        R"("platform":"10.9.9.9:70","fleet_key":"sixteen letters!","load_parts":["fitted_copies"]})"};
    process tool{"plumctl", {"check", file.path()}};
    CHECK(tool.line_after("learned_speeds:") == "off");
    CHECK(tool.line_after("fitted_copies:") == "on where an engine service can move generations");
    CHECK(tool.wait() == 0);
}

TEST_CASE("settings that can't be read are invalid", "[plumctl]")
{
    CHECK(exit_code({"check", "/no/such/file"}) == code_of(state::error_kind::settings_invalid));
}
