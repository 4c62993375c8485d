#include "framing_model.hpp"
#include "mutation.hpp"

#include <plumdale/protocol/http_reader.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace plumdale::protocol;
using plumdale::test::framing_model;

namespace
{

constexpr http_reader::limits bounds{1'024, 4'096};
constexpr std::string_view hidden_request = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";

http_reader read(std::string_view text, message_role role = message_role::request)
{
    http_reader reader{role, bounds};
    reader.append(text);
    return reader;
}

std::string request_with(std::string_view fields)
{
    return "POST / HTTP/1.1\r\nHost: x\r\n" + std::string{fields} + "\r\n";
}

std::string answer_with(std::string_view fields)
{
    return "HTTP/1.1 200 OK\r\n" + std::string{fields} + "\r\n";
}

std::string chunked_request(std::string_view chunks)
{
    return request_with("Transfer-Encoding: chunked\r\n") + std::string{chunks};
}

// Framing fields that no two readers need to understand in the same way.
std::vector<std::string> const unsound_fields{
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked,\r\n",
    "Transfer-Encoding: , chunked\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: \r\n chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding : chunked\r\n",
    " Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\n",
    "Transfer-Encoding: \vchunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: 5, 5\r\n",
    "Content-Length: 5, 6\r\n",
    "Content-Length: 5,\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: 0x5\r\n",
    "Content-Length: 5 5\r\n",
    "Content-Length: 5.0\r\n",
    "Content-Length: 18446744073709551621\r\n",
    "Content-Length:\r\n",
    "Content-Length : 5\r\n",
    "Content-Length\t: 5\r\n",
    "Content-Length: 5\n",
    "Content-Length:\r\n 5\r\n",
    "A: b\r\n c\r\n",
    "A: b\r\n\tContent-Length: 5\r\n",
    "A: b\rContent-Length: 5\r\n",
    "A b\r\n",
    ": b\r\n",
};

std::vector<std::string> const unsound_chunks{
    "+3\r\nabc\r\n0\r\n\r\n",
    "-3\r\nabc\r\n0\r\n\r\n",
    "0x3\r\nabc\r\n0\r\n\r\n",
    " 3\r\nabc\r\n0\r\n\r\n",
    "3 \r\nabc\r\n0\r\n\r\n",
    "3\nabc\r\n0\r\n\r\n",
    "3\r\nabc\n0\r\n\r\n",
    "3\r\nabc0\r\n\r\n",
    "3\r\nabcd\r\n0\r\n\r\n",
    "3\r\nab\r\n0\r\n\r\n",
    "\r\nabc\r\n0\r\n\r\n",
    ";a\r\n",
    "3;\r\nabc\r\n0\r\n\r\n",
    "3;a=\r\nabc\r\n0\r\n\r\n",
    "3;a=\"b\r\nabc\r\n0\r\n\r\n",
    "3;a=\"b\nc\"\r\nabc\r\n0\r\n\r\n",
    "3;a\rb\r\nabc\r\n0\r\n\r\n",
    "3 a\r\nabc\r\n0\r\n\r\n",
    "10000000000000003\r\nabc\r\n0\r\n\r\n",
    "00000000000000003\r\nabc\r\n0\r\n\r\n",
    "ffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    "3\r\nabc\r\n0\r\nA b\r\n\r\n",
    "3\r\nabc\r\n0\r\nA : b\r\n\r\n",
    "3\r\nabc\r\n0\r\nA: b\r\n c\r\n\r\n",
    "3\r\nabc\r\n0\r\nA: b\n\r\n",
    "3\r\nabc\r\n0\r\n\n",
    "3\r\nabc\r\n0\r\nContent-Length: 5\r\n\r\n",
    "3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "3\r\nabc\r\n0\r\nhost: y\r\n\r\n",
    "3\r\nabc\r\n0\r\nAuthorization: y\r\n\r\n",
    "3\r\nabc\r\n0\r\nConnection: close\r\n\r\n",
};

} // namespace

// -- refused --------------------------------------------------------------------------------------

// Guards against request smuggling by a coding that leaves the body's end unknown (`identity`,
// `gzip`, quotes): the body was taken for empty, and a request hidden in it was run.
TEST_CASE("a request hidden behind a coding other than chunked is not read", "[message_framing]")
{
    for (char const* const coding :
         {"identity", "chunked, identity", "gzip", "\"chunked\"", "gzip, chunked"})
    {
        INFO(coding);
        std::string const fields = "Transfer-Encoding: " + std::string{coding} + "\r\n";
        http_reader const reader = read(request_with(fields) + std::string{hidden_request});
        CHECK(reader.progress() == read_progress::malformed);
    }
}

// Guards against a caller's and an upstream's framing that two readers see differently.
TEST_CASE("a head whose framing is not fully understood is refused", "[message_framing]")
{
    for (std::string const& fields : unsound_fields)
    {
        INFO(fields);
        CHECK(read(request_with(fields) + "hello").progress() == read_progress::malformed);
        CHECK(read(answer_with(fields) + "hello", message_role::answer).progress() ==
              read_progress::malformed);
        CHECK(read(answer_with(fields), message_role::answer_without_body).progress() ==
              read_progress::malformed);
    }
    std::string const old_request = "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(read(old_request + "0\r\n\r\n").progress() == read_progress::malformed);
    CHECK(read("POST / HTTP/1.1\nHost: x\n\n").progress() == read_progress::malformed);
}

// Guards against chunk lines and trailers that two readers see differently.
TEST_CASE("a chunked body whose framing is not fully understood is refused", "[message_framing]")
{
    for (std::string const& chunks : unsound_chunks)
    {
        INFO(chunks);
        CHECK(read(chunked_request(chunks)).progress() == read_progress::malformed);
        std::string const answer = answer_with("Transfer-Encoding: chunked\r\n") + chunks;
        CHECK(read(answer, message_role::answer).progress() == read_progress::malformed);
    }
}

// Guards against a sender that goes wrong and falls silent: its channel would stay open until a
// timeout, and its caller without an answer.
TEST_CASE("bytes that can't become a message are refused before their line ends",
          "[message_framing]")
{
    CHECK(read("\x16\x03\x01").progress() == read_progress::malformed);
    CHECK(read("no answer", message_role::answer).progress() == read_progress::malformed);
    CHECK(read(chunked_request("z")).progress() == read_progress::malformed);
    CHECK(read(chunked_request("1\r\nab")).progress() == read_progress::malformed);
}

// Guards against chunk extensions and trailers without end, which count for no body.
TEST_CASE("what chunk lines and trailers take is bounded", "[message_framing]")
{
    std::string const extension = ";" + std::string(200, 'x');
    std::string chunks;
    for (int i = 0; i < 20; ++i)
    {
        chunks += "1" + extension + "\r\na\r\n";
    }
    http_reader const extended = read(chunked_request(chunks));
    CHECK(extended.progress() == read_progress::malformed);
    CHECK(extended.is_too_large());
    std::string trailers = "0\r\n";
    for (int i = 0; i < 20; ++i)
    {
        trailers += "A: " + std::string(100, 'x') + "\r\n";
    }
    CHECK(read(chunked_request(trailers)).is_too_large());
    CHECK(read(chunked_request("1;" + std::string(1'100, 'x'))).is_too_large());
    CHECK(read(chunked_request("1001\r\n")).is_too_large());
}

// -- accepted -------------------------------------------------------------------------------------

// Guards against a trailer that becomes a field: a second request id went to the upstream.
TEST_CASE("permitted trailers are dropped", "[message_framing]")
{
    http_reader reader = read(chunked_request("3\r\nabc\r\n0\r\nDigest: x\r\nId: 7\r\n\r\nGET"));
    REQUIRE(reader.progress() == read_progress::complete);
    CHECK(reader.head().fields.size() == 2);
    CHECK(reader.head().find("Id") == nullptr);
    CHECK(reader.take_body() == "abc");
    CHECK(reader.unconsumed() == "GET");
}

// Guards against a check that refuses what sound callers and upstreams send.
TEST_CASE("sound framing is accepted", "[message_framing]")
{
    for (char const* const fields :
         {"Transfer-Encoding: CHUNKED\r\n", "transfer-encoding: \t chunked \t\r\n",
          "Transfer-Encoding:chunked\r\n", "Transfer-Encoding: chunked\r\nTE: trailers\r\n"})
    {
        INFO(fields);
        http_reader reader =
            read(request_with(fields) +
                 "1;a=b;c ; d = \"e\\\"\tf\"\r\na\r\n00A;x\r\n0123456789\r\n000\r\n\r\n");
        CHECK(reader.progress() == read_progress::complete);
        CHECK(reader.framing() == body_framing::chunked);
        CHECK(reader.take_body() == "a0123456789");
    }
    for (char const* const fields : {"Content-Length: 0005\r\n", "content-length:\t5 \r\n"})
    {
        INFO(fields);
        http_reader reader = read(answer_with(fields) + "hello", message_role::answer);
        CHECK(reader.progress() == read_progress::complete);
        CHECK(reader.take_body() == "hello");
    }
}

TEST_CASE("answers that have no body end with their head", "[message_framing]")
{
    for (char const* const status : {"100 Continue", "103 ", "204 No Content", "304 Not Modified"})
    {
        INFO(status);
        std::string const head =
            "HTTP/1.1 " + std::string{status} + "\r\nContent-Length: 5\r\n\r\n";
        http_reader const reader = read(head + "HTTP", message_role::answer);
        CHECK(reader.progress() == read_progress::complete);
        CHECK(reader.unconsumed() == "HTTP");
    }
    http_reader const to_head =
        read(answer_with("Content-Length: 5000000\r\n"), message_role::answer_without_body);
    CHECK(to_head.progress() == read_progress::complete);
    CHECK(to_head.framing() == body_framing::length);
}

// Guards against statuses that readers take for different things, or for no failure.
TEST_CASE("a head whose status is none is refused with its first line", "[message_framing]")
{
    for (char const* const status :
         {"000", "001", "099", "101", "600", "999", "20", "2000", "2 0", "-20", "0200", "2.0"})
    {
        INFO(status);
        std::string const line = "HTTP/1.1 " + std::string{status} + " Text\r\n";
        for (message_role const role : {message_role::answer, message_role::answer_without_body})
        {
            CHECK(read(line, role).progress() == read_progress::malformed);
        }
    }
    for (char const* const status : {"100", "102", "103", "199", "200", "299", "404", "599"})
    {
        INFO(status);
        std::string const line = "HTTP/1.1 " + std::string{status} + " Text\r\n";
        CHECK(read(line, message_role::answer).progress() == read_progress::head);
    }
}

// Guards against a wait for more of what follows an interim answer and begins none.
TEST_CASE("bytes that begin no answer are refused before their line ends", "[message_framing]")
{
    for (char const* const bytes : {"yes", "h", "HTTP/2", "HTTP 1", "H\r"})
    {
        INFO(bytes);
        CHECK(read(bytes, message_role::answer).progress() == read_progress::malformed);
    }
    for (char const* const bytes : {"", "H", "HTTP/", "HTTP/1.1", "HTTP/1.0 200"})
    {
        INFO(bytes);
        CHECK(read(bytes, message_role::answer).progress() == read_progress::head);
    }
}

// -- generated ------------------------------------------------------------------------------------

namespace
{

class message_generator
{
public:
    explicit message_generator(std::uint64_t seed) : random_{seed} {}

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(random_() % bound);
    }

    bool once_in(std::size_t rounds)
    {
        return below(rounds) == 0;
    }

    template <std::size_t Size>
    std::string one_of(std::array<char const*, Size> const& texts)
    {
        return texts[below(Size)];
    }

    std::string message(message_role role)
    {
        std::string text = role == message_role::request ? request_line() : status_line();
        for (std::size_t left = below(4); left > 0; --left)
        {
            text += field();
        }
        text += framing_fields();
        text += once_in(4) ? field() : "";
        text += line_end() + body();
        return once_in(3) ? plumdale::test::mutate(text, random_()) : text;
    }

private:
    std::string line_end()
    {
        return once_in(200) ? one_of<3>({"\n", "\r", "\r\r\n"}) : "\r\n";
    }

    std::string request_line()
    {
        return one_of<4>({"GET", "POST", "PUT", "HEAD"}) + one_of<3>({" / ", " /a?b=c ", " * "}) +
               version() + line_end();
    }

    std::string status_line()
    {
        return version() +
               one_of<6>({" 200 OK", " 204 ", " 304 Not Modified", " 100 Continue", " 503 Busy now",
                          " 404 "}) +
               line_end();
    }

    std::string version()
    {
        return once_in(10) ? one_of<3>({"HTTP/1.0", "HTTP/1.2", "HTTP/2.0"}) : "HTTP/1.1";
    }

    std::string field()
    {
        std::string const name = one_of<5>({"Host", "A", "Id", "Connection", "Trailer"});
        std::string const colon = once_in(60) ? one_of<4>({" :", "\t:", "", "::"}) : ":";
        std::string const fold = once_in(60) ? one_of<2>({"\r\n b", "\r\n\t"}) : "";
        return name + colon + one_of<4>({" x", "\tx ", "", " 7"}) + fold + line_end();
    }

    std::string framing_fields()
    {
        std::string text;
        for (std::size_t left = once_in(8) ? below(4) : 1; left > 0; --left)
        {
            text += once_in(2) ? length_field() : coding_field();
        }
        return text;
    }

    std::string length_field()
    {
        std::string const value =
            once_in(6)
                ? one_of<8>({"+5", "-5", "0x5", "5, 5", "", "5 5", "99999999999999999999", "5000"})
                : std::to_string(below(60));
        return one_of<3>({"Content-Length: ", "content-length:", "CONTENT-LENGTH:\t"}) + value +
               line_end();
    }

    std::string coding_field()
    {
        std::string const value = once_in(6)
                                      ? one_of<7>({"identity", "gzip", "chunked, identity",
                                                   "gzip, chunked", "\"chunked\"", "chunked,", ""})
                                      : one_of<3>({"chunked", "Chunked ", "\tCHUNKED\t"});
        return one_of<2>({"Transfer-Encoding: ", "transfer-encoding:"}) + value + line_end();
    }

    std::string body()
    {
        std::string text;
        for (std::size_t left = below(4); left > 0; --left)
        {
            text += chunk();
        }
        text += once_in(10) ? "" : one_of<3>({"0", "00", "0;a=b"}) + line_end() + trailers();
        return text + (once_in(3) ? std::string{hidden_request} : "");
    }

    std::string chunk()
    {
        std::string const data =
            once_in(4) ? std::string{hidden_request} : std::string(below(20) + 1, 'd');
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), once_in(2) ? "%zx" : "%zX",
                      once_in(40) ? below(99'999) + 1 : data.size());
        std::string const sign = once_in(60) ? one_of<4>({"+", "-", "0x", " "}) : "";
        return sign + size.data() + extensions() + line_end() + data + line_end();
    }

    std::string extensions()
    {
        if (!once_in(4))
        {
            return "";
        }
        return once_in(5)
                   ? one_of<7>({" ", ";", ";a=", ";a=\"b", "; =b", ";a=\"\nb\"", " a"})
                   : one_of<6>({";a", ";a=b", "; a = b", ";a=\"b;\\\"c\"", ";a;b=c", "\t;a"});
    }

    std::string trailers()
    {
        std::string text;
        for (std::size_t left = once_in(3) ? below(3) : 0; left > 0; --left)
        {
            text += once_in(5)
                        ? one_of<4>({"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n",
                                     "hOST: y\r\n", "Connection: close\r\n"})
                        : one_of<3>({"Digest: x\r\n", "Id: 9\r\n", "B:\r\n"});
        }
        return text + line_end();
    }

    std::mt19937_64 random_;
};

http_reader read_in_random_pieces(std::string_view text, message_role role,
                                  message_generator& random)
{
    http_reader reader{role, bounds};
    std::size_t const longest = random.once_in(2) ? 4 : 200;
    while (!text.empty())
    {
        std::size_t const size = std::min(text.size(), 1 + random.below(longest));
        reader.append(text.substr(0, size));
        text.remove_prefix(size);
    }
    return reader;
}

// Compares the reader, which sees the text in pieces, with the model, which sees all of it.
void compare(std::string const& whole, std::string_view text, message_role role, http_reader reader)
{
    framing_model const model{text, role, bounds.body_bytes};
    bool const is_refused = reader.progress() == read_progress::malformed;
    if (model.result() == framing_model::outcome::unfinished && is_refused)
    {
        // The reader may refuse the beginning of a line that the model only sees at its end.
        REQUIRE(framing_model(whole + "\n", role, bounds.body_bytes).result() ==
                framing_model::outcome::refused);
        return;
    }
    REQUIRE(is_refused == (model.result() == framing_model::outcome::refused));
    if (is_refused)
    {
        return;
    }
    if (model.result() == framing_model::outcome::open)
    {
        REQUIRE(reader.progress() == read_progress::body);
        REQUIRE(reader.append_eof() == read_progress::complete);
    }
    bool const is_complete = reader.progress() == read_progress::complete;
    REQUIRE(is_complete == (model.result() != framing_model::outcome::unfinished));
    if (is_complete)
    {
        REQUIRE(reader.take_body() == model.body());
        REQUIRE(reader.unconsumed() == text.substr(model.length()));
        REQUIRE(reader.head().fields.size() == model.field_count());
    }
}

// Both roles and every cut: the reader must see the message's end where the model does.
void play(std::uint64_t seed)
{
    message_generator random{seed};
    auto const role = std::array{message_role::request, message_role::answer,
                                 message_role::answer_without_body}[random.below(3)];
    std::string const whole = random.message(role);
    std::string_view const text = std::string_view{whole}.substr(
        0, random.once_in(3) ? random.below(whole.size() + 1) : whole.size());
    INFO("seed " << seed << ", " << text);
    compare(whole, text, role, read_in_random_pieces(text, role, random));
}

std::uint64_t number_from_environment(char const* name, std::uint64_t otherwise)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

} // namespace

// Guards against framing that the reader and a strict model of RFC 9112 see differently. More by
// hand: PLUMDALE_FRAMING_INPUTS, and PLUMDALE_FRAMING_SEED for the first.
TEST_CASE("generated messages end where a strict model sees their end", "[message_framing][seeds]")
{
    std::uint64_t const first = number_from_environment("PLUMDALE_FRAMING_SEED", 1);
    std::uint64_t const count = number_from_environment("PLUMDALE_FRAMING_INPUTS", 100'000);
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        play(seed);
    }
}

// Guards against seeds that failed once.
TEST_CASE("generated messages that failed once end where the model sees their end",
          "[message_framing][seeds]")
{
    for (std::uint64_t const seed : {std::uint64_t{1'829}, std::uint64_t{14'005},
                                     std::uint64_t{2'006'888}, std::uint64_t{3'003'114}})
    {
        play(seed);
    }
}
