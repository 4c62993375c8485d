#include "mutation.hpp"

#include <plumdale/protocol/http_reader.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumdale::protocol;

namespace
{

constexpr http_reader::limits bounds{1'024, 4'096};

http_reader read(std::string_view text, message_role role = message_role::request)
{
    http_reader reader{role, bounds};
    reader.append(text);
    return reader;
}

// Appends the text in pieces of `size` bytes: the result must not depend on how bytes arrive.
http_reader read_in_pieces(std::string_view text, std::size_t size)
{
    http_reader reader{message_role::request, bounds};
    for (std::size_t at = 0; at < text.size(); at += size)
    {
        reader.append(text.substr(at, size));
    }
    return reader;
}

} // namespace

TEST_CASE("a request with a length is complete after its body", "[http_reader]")
{
    std::string const text =
        "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET";
    for (std::size_t size = 1; size <= text.size(); ++size)
    {
        http_reader reader = read_in_pieces(text, size);
        REQUIRE(reader.progress() == read_progress::complete);
        CHECK(reader.head().method == "POST");
        CHECK(reader.head().target == "/a/b?c=d");
        CHECK(reader.take_body() == "hello");
        CHECK(reader.unconsumed() == "GET");
    }
}

TEST_CASE("a chunked body is reassembled", "[http_reader]")
{
    http_reader reader = read("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    CHECK(reader.progress() == read_progress::complete);
    CHECK(reader.framing() == body_framing::chunked);
    CHECK(reader.take_body() == "abcde");
}

// Guards against request smuggling: a caller hides a second request in the body of its first, where
// only the next reader sees it. The upstream would run a call that was not checked or charged.
TEST_CASE("a message whose end is ambiguous is refused", "[http_reader]")
{
    for (char const* const fields :
         {"Content-Length: 5\r\nContent-Length: 6\r\n",
          "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: +5\r\n",
          "Content-Length: 5, 6\r\n", "Content-Length: 0x5\r\n", "Content-Length : 5\r\n",
          "Content-Length:\r\n"})
    {
        INFO(fields);
        std::string const text =
            "POST / HTTP/1.1\r\nHost: x\r\n" + std::string{fields} + "\r\nhello";
        CHECK(read(text).progress() == read_progress::malformed);
    }
    for (char const* const chunks : {"zz\r\nabc\r\n", "3\r\nabcd\r\n0\r\n\r\n", "-1\r\nabc\r\n"})
    {
        INFO(chunks);
        std::string const text =
            "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
            std::string{chunks};
        CHECK(read(text).progress() == read_progress::malformed);
    }
}

TEST_CASE("NUL and line ends inside a field are refused", "[http_reader]")
{
    std::string const nul =
        "GET / HTTP/1.1\r\nHost: x\r\nA: b" + std::string(1, '\0') + "c\r\n\r\n";
    CHECK(read(nul).progress() == read_progress::malformed);
    CHECK(read("GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n").progress() ==
          read_progress::malformed);
    CHECK(read("GET /a b HTTP/1.1\r\nHost: x\r\n\r\n").progress() == read_progress::malformed);
}

TEST_CASE("heads and bodies beyond their bounds are refused as too large", "[http_reader]")
{
    http_reader const head = read("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'x') + "\r\n\r\n");
    CHECK(head.progress() == read_progress::malformed);
    CHECK(head.is_too_large());
    http_reader const body = read("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
    CHECK(body.progress() == read_progress::malformed);
    CHECK(body.is_too_large());
}

// Guards against a head whose fields take many times its bytes; a caller's is bounded by its bytes.
TEST_CASE("an answer has at most so many fields", "[http_reader]")
{
    constexpr int most = 256;
    std::string fields;
    for (int i = 0; i < most; ++i)
    {
        fields += "a:\r\n";
    }
    auto const read_head = [](message_role role, std::string const& text)
    {
        http_reader reader{role, {}};
        reader.append(text);
        return reader.progress();
    };
    std::string const line = "HTTP/1.1 204 No\r\n";
    CHECK(read_head(message_role::answer, line + fields + "\r\n") == read_progress::complete);
    // A field is known to end with its line only once the next byte is there.
    for (char const* const rest : {"a:\r\na", "a:\r\n\r\n"})
    {
        CHECK(read_head(message_role::answer, line + fields + rest) == read_progress::malformed);
    }
    CHECK(read_head(message_role::request, "GET / HTTP/1.1\r\n" + fields + "a:\r\n\r\n") ==
          read_progress::complete);
}

TEST_CASE("an answer without a length ends only with its connection", "[http_reader]")
{
    http_reader reader = read("HTTP/1.1 200 OK\r\n\r\nabc", message_role::answer);
    CHECK(reader.framing() == body_framing::until_close);
    CHECK(reader.progress() == read_progress::body);
    CHECK(reader.append_eof() == read_progress::complete);
    CHECK(reader.take_body() == "abc");
}

TEST_CASE("an answer that ends short of its length does not become complete", "[http_reader]")
{
    http_reader reader =
        read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", message_role::answer);
    CHECK(reader.append_eof() == read_progress::body);
}

// Guards against an answer that is whole though its head is not.
TEST_CASE("an answer that ends inside its head is not complete", "[http_reader]")
{
    for (std::string const framing :
         {"Content-Length: 0\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""})
    {
        std::string const head = "HTTP/1.1 200 OK\r\nServer: x\r\n" + framing + "\r\n";
        for (std::size_t bytes = 0; bytes < head.size(); ++bytes)
        {
            http_reader reader = read(head.substr(0, bytes), message_role::answer);
            CHECK(reader.progress() == read_progress::head);
            CHECK(reader.append_eof() == read_progress::head);
        }
    }
}

TEST_CASE("damaged messages neither crash the reader nor grow its buffer", "[http_reader][seeds]")
{
    std::string const valid =
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (std::uint32_t seed = 1; seed <= 3'000; ++seed)
    {
        std::string const damaged = plumdale::test::mutate(valid, seed);
        http_reader reader = read_in_pieces(damaged, 1 + seed % 17);
        if (reader.progress() != read_progress::malformed)
        {
            CHECK(reader.unconsumed().size() <= damaged.size());
        }
    }
}
