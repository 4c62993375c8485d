#include <plumdale/protocol/answer_reader.hpp>
#include <plumdale/protocol/answer_status.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace plumdale::protocol;

namespace
{

constexpr std::string_view hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

std::string repeated(std::string_view text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
    {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("the final answer is read behind interim ones, however it arrives", "[answer_reader]")
{
    std::string const text =
        repeated(hints, max_interim_answers) + std::string{answer} + "of another call";
    for (std::size_t const part : {std::size_t{1}, std::size_t{7}, text.size()})
    {
        INFO(part << " bytes at a time");
        answer_reader reader{message_role::answer, {}};
        for (std::size_t at = 0; at < text.size(); at += part)
        {
            reader.append(std::string_view{text}.substr(at, part));
        }
        CHECK(reader.progress() == read_progress::complete);
        CHECK(reader.head().status == 200);
        CHECK(reader.take_body() == "whole");
        CHECK(reader.unconsumed() == "of another call");
    }
}

// Guards against an upstream that keeps its call waiting with interim answers without end.
TEST_CASE("one interim answer too many is malformed", "[answer_reader]")
{
    answer_reader reader{message_role::answer, {}};
    CHECK(reader.append(repeated(hints, max_interim_answers)) == read_progress::head);
    CHECK(reader.append(hints) == read_progress::malformed);
    CHECK(reader.append(answer) == read_progress::malformed);
    CHECK(reader.append_eof() == read_progress::malformed);
}

TEST_CASE("an interim answer is no answer when the connection ends", "[answer_reader]")
{
    answer_reader reader{message_role::answer, {}};
    reader.append(hints);
    CHECK(reader.append_eof() == read_progress::head);
}

TEST_CASE("an answer without a length ends with its connection", "[answer_reader]")
{
    answer_reader reader{message_role::answer, {}};
    CHECK(reader.append("HTTP/1.1 200 OK\r\n\r\nwhole") == read_progress::body);
    CHECK(reader.append_eof() == read_progress::complete);
    CHECK(reader.take_body() == "whole");
    CHECK(reader.framing() == body_framing::until_close);
}
