#include <plumdale/protocol/json_parts.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace plumdale::protocol;

TEST_CASE("lists and objects are split at their own commas", "[json_parts]")
{
    auto const elements = split_elements(R"( [ {"a":[1,2]} , "x,]\"" , 7 ,[] ] )");
    REQUIRE(elements);
    CHECK(elements.value() ==
          std::vector<std::string_view>{R"({"a":[1,2]})", R"("x,]\"")", "7", "[]"});
    CHECK(split_elements("[]").value().empty());
    auto const members = split_members(R"({"a":1, "b" : {"c":"}"},"d":[","]})");
    REQUIRE(members);
    REQUIRE(members.value().size() == 3);
    CHECK(members.value()[1].name == "b");
    CHECK(members.value()[1].value == R"({"c":"}"})");
    CHECK(members.value()[2].value == R"([","])");
    CHECK(split_members("{}").value().empty());
}

TEST_CASE("text whose brackets don't match is not split", "[json_parts]")
{
    for (char const* const text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[1]]", "[1}", "[\"a]",
                                   "[\"a\\\"]", "{}", "[[1]", "[1] x"})
    {
        INFO(text);
        CHECK_FALSE(split_elements(text));
    }
    for (char const* const text : {"", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\":1}}",
                                   "{a:1}", "{\"a\":1", "{\"a:1}", "[]"})
    {
        INFO(text);
        CHECK_FALSE(split_members(text));
    }
}

// Guards against a parser that ends the process on deep nesting, and against a member that takes
// the others with it.
TEST_CASE("a member that can't be read is left out, whatever its depth", "[json_parts]")
{
    std::string const deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (std::string const& odd :
         {deep, std::string{"01"}, std::string{"nan"}, std::string{"\"\xff\""},
          std::string{"\"\\ud800\""}, std::string{"{\"x\":}"}, std::string{"[1 2]"}})
    {
        auto const read =
            parse_readable_members(R"({"key":"a","odd":)" + odd + R"(,"revision":7})");
        REQUIRE(read);
        CHECK(read.value().size() == 2);
        CHECK(read.value().at("key").as_string() == "a");
        CHECK(read.value().at("revision").as_int64() == 7);
    }
}

TEST_CASE("damaged text is split or refused", "[json_parts]")
{
    std::minstd_rand random{11};
    std::string const sound = R"({"a":[1,{"b":"c\\\"d"}],"e":null,"f":[[],[2.5e3]]})";
    for (int round = 0; round < 20'000; ++round)
    {
        std::string text = sound;
        for (unsigned i = random() % 4; i != 0; --i)
        {
            text[random() % text.size()] = "{}[],:\"\\1 "[random() % 10];
        }
        text.resize(text.size() - random() % 3);
        if (auto const members = split_members(text))
        {
            for (member_text const& each : members.value())
            {
                CHECK(each.value.data() >= text.data());
                CHECK(each.value.data() + each.value.size() <= text.data() + text.size());
            }
        }
        static_cast<void>(split_elements(text));
        static_cast<void>(parse_readable_members(text));
    }
}
