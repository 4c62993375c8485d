#include "moved_draft.hpp"

#include "transport/boot_clock.hpp"

#include <plumdale/protocol/endpoint_text.hpp>

#include <algorithm>

namespace plumdale::test
{
namespace
{

constexpr std::string_view last_chunk = "0\r\n\r\n";
constexpr std::string_view not_run = "Plumdale-Not-Executed: 1\r\n";

/// \brief Fills the engines, as drafts with a backup are not moved.
forward_fixture& filled(forward_fixture& fixture)
{
    fill_engines(fixture);
    return fixture;
}

} // namespace

moved_draft::moved_draft(forward_fixture& under_test)
    : fixture{under_test}, draft{filled(under_test)}
{
    announce_departure(fixture, *draft.source);
}

void moved_draft::copy_first()
{
    fixture.run_until([&] { return fixture.request_count(first_copy_order) > 0; });
    draft.source->connections_with(first_copy_order)
        .back()
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
}

void moved_draft::stop()
{
    order = fixture.upstream_connection(stop_order);
    draft.stream->close();
}

void moved_draft::answer_stop()
{
    order->send(answer_text(200, "", R"({"handleId":"h-2","createdRev":3})"));
}

scripted_upstream& moved_draft::destination() const
{
    std::string const text = draft.source->connections_with(first_copy_order).back()->received;
    auto const found =
        std::find_if(fixture.upstreams.begin(), fixture.upstreams.end(),
                     [&text](auto const& each)
                     {
                         std::string const address =
                             protocol::to_text(each->make_member("engine", 1).address);
                         return text.find("\"to\":\"" + address + "\"") != std::string::npos;
                     });
    return **found;
}

std::size_t moved_draft::refuse_resumptions_for(state::duration time)
{
    std::size_t refused = 0;
    auto const end = transport::boot_now() + time;
    fixture.run_until(
        [&]
        {
            for (auto const& upstream : fixture.upstreams)
            {
                for (auto const& sent : upstream->take_unanswered(resumption))
                {
                    sent->send(answer_text(503, "id-1", "", not_run));
                    ++refused;
                }
            }
            return transport::boot_now() >= end || draft.caller->ended;
        });
    return refused;
}

void moved_draft::resume_to_end()
{
    std::shared_ptr<scripted_connection> sent;
    fixture.run_until(
        [&]
        {
            for (auto const& upstream : fixture.upstreams)
            {
                auto const fresh = upstream->take_unanswered(resumption);
                sent = fresh.empty() ? sent : fresh.back();
            }
            return sent != nullptr || draft.caller->ended;
        });
    if (sent != nullptr)
    {
        sent->send(stream_head("id-1") + event_chunk(4) + std::string{last_chunk});
        fixture.run_until([&] { return is_whole() || draft.caller->ended; });
    }
}

bool moved_draft::is_whole() const
{
    return draft.has_event(4) && draft.caller->received.ends_with(last_chunk);
}

void moved_draft::run_for(state::duration time) const
{
    auto const end = transport::boot_now() + time;
    fixture.run_until([&] { return transport::boot_now() >= end || draft.caller->ended; });
}

} // namespace plumdale::test
