#include "closed_draft.hpp"

#include <chrono>
#include <utility>

namespace plumdale::test
{

std::string closed_head(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nPlumdale-Request-Id: " + std::string{id} +
           "\r\nPlumdale-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

std::string id_field(std::string_view id)
{
    return "Plumdale-Request-Id: " + std::string{id};
}

closed_draft::closed_draft(forward_fixture& fixture)
    : caller{fixture.call("/draft/1", "id-1", draft_fields)}, source{&fixture.upstream_of(
                                                                  id_field("id-1"))},
      stream{source->connections_with(id_field("id-1")).front()}
{
    stream->send(closed_head("id-1") + event(1) + event(2) + event(3));
    fixture.run_until([this] { return has_event(3); });
}

bool closed_draft::has_event(int id) const
{
    return caller->received.find("data: e" + std::to_string(id) + "\n") != std::string::npos;
}

bool closed_draft::is_complete() const
{
    return caller->received.ends_with(last_chunk);
}

void closed_draft::run_until_complete(forward_fixture& fixture) const
{
    run_with_reports(fixture, *source, [this] { return is_complete(); });
}

void run_with_reports(forward_fixture& fixture, scripted_upstream& upstream,
                      std::function<bool()> const& condition)
{
    request_answers answers{upstream};
    fixture.run_until(
        [&]
        {
            answers.send(report_question, answer_text(200, "", "{}"));
            return condition();
        });
}

std::shared_ptr<scripted_connection> order_stop(forward_fixture& fixture, closed_draft const& draft)
{
    announce_departure(fixture, *draft.source);
    fixture.upstream_connection("\"isLast\":false")
        ->send(answer_text(200, "", R"({"handleId":"h-1","createdRev":3})"));
    return fixture.upstream_connection(stop_order);
}

void request_answers::send(std::string_view text, std::string_view answer)
{
    for (auto const& each : upstream_.connections_with(text))
    {
        if (answered_.insert(each).second)
        {
            each->send(answer);
        }
    }
}

void request_answers::skip(std::shared_ptr<scripted_connection> request)
{
    answered_.insert(std::move(request));
}

void run_for(forward_fixture& fixture, state::duration time)
{
    auto const end = std::chrono::steady_clock::now() + time;
    fixture.run_until([end] { return std::chrono::steady_clock::now() > end; });
}

} // namespace plumdale::test
