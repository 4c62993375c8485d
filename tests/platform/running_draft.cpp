#include "running_draft.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <array>
#include <string>
#include <vector>

namespace plumdale::test
{

namespace
{

} // namespace

running_draft::running_draft(forward_fixture& fixture)
    : caller{fixture.call("/draft/1", "id-1", draft_fields)}, source{&fixture.upstream_of(
                                                                  "Plumdale-Request-Id: id-1")},
      stream{source->connections_with("Plumdale-Request-Id: id-1").front()}
{
    stream->send(stream_head("id-1"));
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        stream->send(event_chunk(id));
    }
    fixture.run_until([this] { return has_event(3); });
}

bool running_draft::has_event(int id) const
{
    return caller->received.find("data: e" + std::to_string(id) + "\n") != std::string::npos;
}

scripted_upstream* backup_engine_of(forward_fixture& fixture, running_draft const& draft)
{
    for (std::size_t i = forward_fixture::plain_upstreams; i < fixture.upstreams.size(); ++i)
    {
        std::string const address =
            protocol::to_text(fixture.upstreams[i]->make_member("engine", 1).address);
        if (draft.stream->received.find("Plumdale-Kv-Backup: " + address) != std::string::npos)
        {
            return fixture.upstreams[i].get();
        }
    }
    return nullptr;
}

void fill_engines(forward_fixture& fixture)
{
    for (std::size_t i = forward_fixture::plain_upstreams; i < fixture.upstreams.size(); ++i)
    {
        state::member_key const key = state::key_of(fixture.upstreams[i]->make_member("engine", 1));
        fixture.core.ledger.add(key, {key, 5, 22'000, 23'000, 0});
    }
}

void announce_departure(forward_fixture& fixture, scripted_upstream const& upstream)
{
    state::service_member leaving = upstream.make_member("engine", 2);
    leaving.leaving = true;
    std::vector<state::service_member> const updates{leaving};
    fixture.core.apply_members(updates, "test");
}

void announce_incarnations(forward_fixture& fixture)
{
    std::vector<state::service_member> members;
    for (std::size_t i = 0; i < fixture.upstreams.size(); ++i)
    {
        bool const is_plain = i < forward_fixture::plain_upstreams;
        members.push_back(fixture.upstreams[i]->make_member(is_plain ? "plain" : "engine", 2));
        members.back().started = state::incarnation{first_incarnation + i};
    }
    fixture.core.apply_members(members, "test");
}

void list_later_start(forward_fixture& fixture, scripted_upstream const& upstream)
{
    state::service_member again = upstream.make_member("engine", 9);
    again.started = later_incarnation;
    fixture.core.apply_members(std::array{again}, "test");
}

void restart(forward_fixture& fixture, scripted_upstream& upstream)
{
    list_later_start(fixture, upstream);
    state_later_start(fixture, upstream);
}

void state_later_start(forward_fixture& fixture, scripted_upstream& upstream)
{
    constexpr std::string_view question = "GET /v1/report ";
    fixture.run_until([&] { return !upstream.connections_with(question).empty(); });
    upstream.connections_with(question).back()->send(
        answer_text(200, "", R"({"born":)" + std::to_string(later_incarnation.value) + "}"));
}

} // namespace plumdale::test
