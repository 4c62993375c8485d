#include "generate_session.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

namespace plumdale::plumctl
{
namespace
{

namespace json = boost::json;
using state::error_kind;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pause_between_rounds{100};

// After these errors, an attachment through another entry VM or a later one may still succeed.
bool can_retry_attach(error_kind kind)
{
    constexpr std::array kinds{error_kind::connection_failed, error_kind::interrupted,
                               error_kind::owner_unreachable, error_kind::no_upstream,
                               error_kind::draining,          error_kind::not_ready,
                               error_kind::upstream_fault};
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

// After these errors nothing has run, so the request may be sent to another entry VM.
bool can_retry_elsewhere(error_kind kind)
{
    return kind == error_kind::connection_failed || kind == error_kind::draining ||
           kind == error_kind::not_ready;
}

std::string string_member(json::value const& from, std::string_view name)
{
    auto const* value = from.is_object() ? from.as_object().if_contains(name) : nullptr;
    return value != nullptr && value->is_string() ? std::string{value->as_string()} : std::string{};
}

std::string token_text(json::value const& data)
{
    auto const* choices = data.is_object() ? data.as_object().if_contains("choices") : nullptr;
    if (choices == nullptr || !choices->is_array() || choices->as_array().empty())
    {
        return {};
    }
    return string_member(choices->as_array().front(), "text");
}

} // namespace

generate_session::generate_session(generate_options options, generate_listener listener)
    : options_{std::move(options)}, listener_{std::move(listener)}
{
}

generate_answer const& generate_session::answer() const noexcept
{
    return answer_;
}

std::optional<state::failure> generate_session::run()
{
    if (!options_.generation.empty())
    {
        answer_.generation = options_.generation;
        last_event_id_ = options_.last_event_id;
        std::size_t const slash = last_event_id_.rfind('/');
        if (slash != std::string::npos)
        {
            answer_.next_index =
                static_cast<std::uint32_t>(std::atoi(last_event_id_.c_str() + slash + 1)) + 1;
        }
        auto failed = exchange(make_attach_call());
        return failed && can_retry_attach(failed->kind) ? attach_until_complete(*failed) : failed;
    }
    if (!options_.one_call)
    {
        if (auto failed = reserve())
        {
            return failed;
        }
    }
    return start();
}

// Nothing runs before an identity is known, so a reservation is safe to repeat at another entry VM.
std::optional<state::failure> generate_session::reserve()
{
    std::optional<state::failure> last;
    for (std::size_t tries = 0; tries < options_.entries.size(); ++tries)
    {
        http_call call{"POST", "/v1/generations", {}, "{}"};
        add_headers(call);
        auto const got =
            http_client{options_.entries[entry_index_], options_.idle_timeout}.call(call);
        if (got && got.value().status == 200)
        {
            boost::system::error_code malformed;
            answer_.generation =
                string_member(json::parse(got.value().body, malformed), "generation");
            return std::nullopt;
        }
        last = got ? failure_of(got.value()) : got.error();
        if (!can_retry_elsewhere(last->kind))
        {
            return last;
        }
        select_next_entry();
    }
    return last;
}

std::optional<state::failure> generate_session::start()
{
    auto failed = exchange(make_run_call());
    if (!failed || !can_retry_attach(failed->kind))
    {
        return failed;
    }
    if (answer_.generation.empty())
    {
        // Without an identity it is unknown whether the generation ran.
        return failed->kind == error_kind::connection_failed
                   ? state::failure{error_kind::may_have_run, failed->detail}
                   : *failed;
    }
    return attach_until_complete(*failed);
}

std::optional<state::failure> generate_session::attach_until_complete(state::failure first)
{
    auto const until = clock::now() + options_.attach_timeout;
    state::failure last = std::move(first);
    std::size_t unknown_in_a_row = 0;
    for (std::size_t tries = 0; clock::now() < until; ++tries)
    {
        select_next_entry();
        listener_.on_diagnostic(std::string{state::answer_for(last.kind).name} + " after " +
                                std::to_string(answer_.next_index) + " tokens; attaching through " +
                                options_.entries[entry_index_]);
        ++answer_.attachments;
        auto const failed = exchange(make_attach_call());
        if (!failed)
        {
            return std::nullopt;
        }
        last = *failed;
        unknown_in_a_row = last.kind == error_kind::unknown_generation ? unknown_in_a_row + 1 : 0;
        bool const unknown_to_all = unknown_in_a_row >= options_.entries.size();
        if (unknown_to_all || (unknown_in_a_row == 0 && !can_retry_attach(last.kind)))
        {
            return last;
        }
        if (tries % options_.entries.size() == options_.entries.size() - 1)
        {
            std::this_thread::sleep_for(pause_between_rounds);
        }
    }
    return last;
}

std::optional<state::failure> generate_session::exchange(http_call const& call)
{
    stream_failure_.reset();
    event_reader reader{[this](server_event const& event)
                        {
                            process_event(event);
                        }};
    auto const got = http_client{options_.entries[entry_index_], options_.idle_timeout}.stream(
        call, [this](http_answer const& head) { process_head(head); },
        [&reader](std::string_view part) { reader.feed(part); });
    if (answer_.complete)
    {
        return std::nullopt;
    }
    if (stream_failure_)
    {
        return stream_failure_;
    }
    if (!got)
    {
        return got.error();
    }
    if (got.value().status == 200)
    {
        return state::failure{error_kind::connection_failed, "the answer ended early"};
    }
    return failure_of(got.value());
}

http_call generate_session::make_attach_call() const
{
    http_call call{"GET", "/v1/generations/" + answer_.generation, {}, ""};
    add_headers(call);
    if (!last_event_id_.empty())
    {
        call.headers.emplace_back("Last-Event-ID", last_event_id_);
    }
    return call;
}

http_call generate_session::make_run_call() const
{
    json::object body{{"model", options_.model}, {"prompt", options_.prompt}, {"stream", true}};
    if (options_.max_tokens > 0)
    {
        body["max_tokens"] = options_.max_tokens;
    }
    http_call call{"POST", "/v1/completions", {}, json::serialize(body)};
    add_headers(call);
    call.headers.emplace_back("Plumdale-Kind", options_.kind);
    if (!options_.repeatable.empty())
    {
        call.headers.emplace_back("Plumdale-Repeatable", options_.repeatable);
    }
    if (!answer_.generation.empty())
    {
        call.headers.emplace_back("Plumdale-Generation", answer_.generation);
    }
    if (!options_.idempotency_key.empty())
    {
        call.headers.emplace_back("Idempotency-Key", options_.idempotency_key);
    }
    if (options_.attempt > 0)
    {
        call.headers.emplace_back("Plumdale-Attempt", std::to_string(options_.attempt));
    }
    return call;
}

void generate_session::add_headers(http_call& call) const
{
    call.headers.emplace_back("Content-Type", "application/json");
    if (!options_.key.empty())
    {
        call.headers.emplace_back("Authorization", "Bearer " + options_.key);
    }
}

void generate_session::process_head(http_answer const& head)
{
    if (head.status != 200)
    {
        return;
    }
    if (answer_.next_index == 0 && !head.header("plumdale-generation").empty())
    {
        answer_.generation = head.header("plumdale-generation");
    }
    if (!head.header("plumdale-upstream").empty())
    {
        answer_.upstream = head.header("plumdale-upstream");
    }
}

void generate_session::process_event(server_event const& event)
{
    if (stream_failure_ || answer_.complete)
    {
        return;
    }
    if (event.name == "error")
    {
        http_answer cut;
        cut.body = event.data;
        stream_failure_ = failure_of(cut);
        return;
    }
    if (event.data == "[DONE]")
    {
        answer_.complete = true;
        return;
    }
    process_token(event);
}

// Accepts a token only when it is the next one of the generation that this answer began with.
void generate_session::process_token(server_event const& event)
{
    std::string const generation = event.id.substr(0, event.id.find_first_of("@/"));
    std::size_t const slash = event.id.rfind('/');
    std::uint32_t index = 0;
    char const* const end = event.id.data() + event.id.size();
    bool const numbered = slash != std::string::npos &&
                          std::from_chars(event.id.data() + slash + 1, end, index).ptr == end;
    if (answer_.next_index == 0)
    {
        answer_.generation = generation;
    }
    boost::system::error_code malformed;
    json::value const data = json::parse(event.data, malformed);
    if (malformed || !numbered || index != answer_.next_index || generation != answer_.generation)
    {
        stream_failure_ = state::failure{error_kind::internal,
                                         "event " + event.id + " where " + answer_.generation +
                                             "/" + std::to_string(answer_.next_index) + " was due"};
        return;
    }
    last_event_id_ = event.id;
    ++answer_.next_index;
    answer_.tokens.push_back({event.id, token_text(data)});
    listener_.on_token(answer_.tokens.back().text);
}

void generate_session::select_next_entry()
{
    entry_index_ = (entry_index_ + 1) % options_.entries.size();
}

} // namespace plumdale::plumctl
