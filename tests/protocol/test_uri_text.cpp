#include <plumdale/protocol/uri_text.hpp>

#include <catch2/catch.hpp>

#include <string>

using plumdale::protocol::escaped;

TEST_CASE("unreserved characters stand for themselves", "[uri_text]")
{
    CHECK(escaped("AZaz09-._~") == "AZaz09-._~");
    CHECK(escaped("").empty());
}

TEST_CASE("all other bytes are escaped", "[uri_text]")
{
    CHECK(escaped("op/a b") == "op%2Fa%20b");
    CHECK(escaped("&+#%?=:@\"") == "%26%2B%23%25%3F%3D%3A%40%22");
    CHECK(escaped("\r\n\x7f\xc3\xa9") == "%0D%0A%7F%C3%A9");
    CHECK(escaped(std::string(1, '\0')) == "%00");
}
