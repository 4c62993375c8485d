#include <plumdale/protocol/raw_event_splitter.hpp>

#include <catch2/catch.hpp>

#include <string>

using plumdale::protocol::raw_event_splitter;

TEST_CASE("complete events are returned as they were sent, with their ids", "[raw_event_splitter]")
{
    std::string const text = "id: 1\ndata: a\n\nversion: 3\nid:2\ndata: b\ndata: c\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size)
    {
        raw_event_splitter events;
        std::string joined;
        std::uint64_t last = 0;
        for (std::size_t at = 0; at < text.size(); at += size)
        {
            events.append(std::string_view{text}.substr(at, size));
            while (auto const event = events.next())
            {
                joined += event->text;
                CHECK(event->id == last + 1);
                last = *event->id;
            }
        }
        CHECK(joined == text);
        CHECK(last == 2);
        CHECK(events.buffered_bytes() == 0);
    }
}

// Guards against a partial event reaching the caller: if an upstream crashes in the middle of an
// event, the upstream that resumes the generation sends that event again.
TEST_CASE("an incomplete event stays in the buffer", "[raw_event_splitter]")
{
    raw_event_splitter events;
    events.append("id: 7\ndata: a\n\nid: 8\nda");
    CHECK(events.next()->id == 7U);
    CHECK_FALSE(events.next());
    CHECK(events.buffered_bytes() == 8);
}

TEST_CASE("events without a numeric id have none", "[raw_event_splitter]")
{
    raw_event_splitter events;
    events.append("data: id: 3\n\nid: x\n\n");
    CHECK_FALSE(events.next()->id);
    CHECK_FALSE(events.next()->id);
}
