#include <plumdale/protocol/caller_codec.hpp>
#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/json_reader.hpp>

#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include <charconv>
#include <utility>

namespace plumdale::protocol
{
namespace
{

using state::error_kind;
using state::failure;
using state::request;
using state::result;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view generations_path = "/v1/generations";
constexpr std::string_view services_path = "/v1/services/";
constexpr std::uint32_t characters_per_token = 4;
constexpr std::size_t prefix_block_characters = 64; // 16 tokens
constexpr std::size_t max_prefix_blocks = 32;
constexpr std::uint32_t token_limit = 1'000'000;

failure invalid(std::string detail)
{
    return {error_kind::invalid_request, std::move(detail)};
}

template <class Number>
bool parse_number(std::string_view text, Number& value)
{
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

// -- headers -----------------------------------------------------------------------------------

result<void> read_identity(http_request_view const& message, request& into)
{
    if (message.generation.empty())
    {
        return boost::outcome_v2::success();
    }
    auto const id = parse_generation_id(message.generation);
    if (!id)
    {
        return failure{error_kind::unknown_generation, "Plumdale-Generation is no identity"};
    }
    into.generation = *id;
    return boost::outcome_v2::success();
}

result<void> read_idempotency_key(http_request_view const& message, request& into)
{
    if (!message.idempotency_key.empty())
    {
        into.key = state::idempotency_key_id{
            state::stable_hash(message.idempotency_key, state::stable_hash(message.authorization))};
    }
    if (!message.attempt.empty() &&
        (!parse_number(message.attempt, into.attempt) || into.attempt == 0))
    {
        return invalid("Plumdale-Attempt: a whole number from 1 is wanted");
    }
    return boost::outcome_v2::success();
}

result<void> read_kind(http_request_view const& message, request& into)
{
    if (message.kind == "draft")
    {
        into.kind = state::work_kind::draft;
    }
    else if (!message.kind.empty() && message.kind != "question")
    {
        return invalid("Plumdale-Kind: question or draft is wanted");
    }
    into.repeatable = into.kind == state::work_kind::question;
    return boost::outcome_v2::success();
}

result<void> read_repeatable(http_request_view const& message, request& into)
{
    if (message.repeatable.empty())
    {
        return boost::outcome_v2::success();
    }
    if (message.repeatable != "true" && message.repeatable != "false")
    {
        return invalid("Plumdale-Repeatable: true or false is wanted");
    }
    into.repeatable = message.repeatable == "true";
    return boost::outcome_v2::success();
}

result<void> read_deadline(http_request_view const& message, state::time_point now, request& into)
{
    if (message.deadline_ms.empty())
    {
        return boost::outcome_v2::success();
    }
    constexpr std::uint32_t max_deadline_ms = 86'400'000;
    std::uint32_t milliseconds = 0;
    if (!parse_number(message.deadline_ms, milliseconds) || milliseconds > max_deadline_ms)
    {
        return invalid("Plumdale-Deadline-Ms: a whole number up to a day is wanted");
    }
    into.deadline = now + std::chrono::milliseconds{milliseconds};
    return boost::outcome_v2::success();
}

result<void> read_headers(http_request_view const& message, state::time_point now, request& into)
{
    if (!message.authorization.starts_with(bearer_prefix))
    {
        return failure{error_kind::unauthenticated, "Authorization: Bearer <key> is wanted"};
    }
    into.api_key = sha256(message.authorization.substr(bearer_prefix.size()));
    BOOST_OUTCOME_TRYV(read_identity(message, into));
    BOOST_OUTCOME_TRYV(read_idempotency_key(message, into));
    BOOST_OUTCOME_TRYV(read_kind(message, into));
    BOOST_OUTCOME_TRYV(read_repeatable(message, into));
    return read_deadline(message, now, into);
}

// -- bodies ------------------------------------------------------------------------------------

result<std::string> prompt_of_messages(boost::json::value const& messages)
{
    boost::json::array const* const list = messages.if_array();
    if (list == nullptr || list->empty())
    {
        return invalid("messages: a list of objects is wanted");
    }
    std::string prompt;
    for (boost::json::value const& each : *list)
    {
        boost::json::object const* const message = each.if_object();
        boost::json::string const* const content =
            message == nullptr ? nullptr : find_string(*message, "content");
        if (content == nullptr)
        {
            return invalid("messages: each needs a string `content`");
        }
        boost::json::string const* const role = find_string(*message, "role");
        prompt += role == nullptr ? std::string_view{"user"} : std::string_view{*role};
        prompt += ": ";
        prompt += std::string_view{*content};
        prompt += '\n';
    }
    return prompt;
}

result<std::string> prompt_of(boost::json::object const& body)
{
    if (boost::json::value const* const messages = body.if_contains("messages"))
    {
        return prompt_of_messages(*messages);
    }
    boost::json::string const* const prompt = find_string(body, "prompt");
    if (prompt == nullptr)
    {
        return invalid("prompt: a string is wanted");
    }
    return std::string{*prompt};
}

void hash_prefix_blocks(request& into)
{
    std::string_view const prompt{*into.body};
    std::uint64_t hash = into.model.value;
    for (std::size_t at = 0;
         at + prefix_block_characters <= prompt.size() && into.prefix.size() < max_prefix_blocks;
         at += prefix_block_characters)
    {
        hash = state::stable_hash(prompt.substr(at, prefix_block_characters), hash);
        into.prefix.push_back(hash);
    }
}

result<void> read_completion(std::string_view text, request& into)
{
    BOOST_OUTCOME_TRY(auto body, parse_object(text));
    boost::json::string const* const model = find_string(body, "model");
    if (model == nullptr || model->empty())
    {
        return invalid("model: a name is wanted");
    }
    into.model = state::id_from_name<state::model_id>(std::string_view{*model});
    if (boost::json::value const* const limit = body.if_contains("max_tokens"))
    {
        into.max_tokens = static_cast<std::uint32_t>(number_or(body, "max_tokens", 0, token_limit));
        if (into.max_tokens == 0 && !limit->is_null())
        {
            return invalid("max_tokens: a whole number of 1 to 1000000 is wanted");
        }
    }
    if (boost::json::value const* const stream = body.if_contains("stream"))
    {
        if (!stream->is_bool())
        {
            return invalid("stream: true or false is wanted");
        }
    }
    into.streamed = flag_or(body, "stream", false);
    BOOST_OUTCOME_TRY(auto prompt, prompt_of(body));
    into.prompt_tokens = static_cast<std::uint32_t>(prompt.size() / characters_per_token + 1);
    into.body = std::make_shared<std::string const>(std::move(prompt));
    hash_prefix_blocks(into);
    return boost::outcome_v2::success();
}

// -- targets -----------------------------------------------------------------------------------

result<void> read_generation_target(http_request_view const& message, request& into)
{
    auto const id = parse_generation_id(message.target.substr(generations_path.size() + 1));
    if (!id)
    {
        return failure{error_kind::unknown_generation, "the path names no identity"};
    }
    into.generation = *id;
    if (message.method == "DELETE")
    {
        into.op = state::operation::cancel;
        return boost::outcome_v2::success();
    }
    if (message.method != "GET")
    {
        return invalid("GET or DELETE is wanted");
    }
    into.op = state::operation::attach;
    if (message.last_event_id.empty())
    {
        return boost::outcome_v2::success();
    }
    auto const last = parse_event_id(message.last_event_id);
    if (!last || last->generation != *id)
    {
        return invalid("Last-Event-ID belongs to another generation");
    }
    into.upstream_hint = last->upstream;
    into.next_index = last->index + 1;
    return boost::outcome_v2::success();
}

result<void> read_service_target(http_request_view const& message, request& into)
{
    std::string_view const rest = message.target.substr(services_path.size());
    std::size_t const slash = rest.find('/');
    std::string_view const name = rest.substr(0, slash);
    if (name.empty())
    {
        return failure{error_kind::unknown_model, "the path names no service"};
    }
    into.kind = state::work_kind::call;
    into.repeatable = message.repeatable == "true";
    into.streamed = false;
    into.model = state::id_from_name<state::model_id>(name);
    into.path = slash == std::string_view::npos ? "/" : std::string{rest.substr(slash)};
    into.body = std::make_shared<std::string const>(message.body);
    return boost::outcome_v2::success();
}

result<void> read_target(http_request_view const& message, request& into)
{
    if (message.target.starts_with(generations_path) &&
        message.target.size() > generations_path.size() &&
        message.target[generations_path.size()] == '/')
    {
        return read_generation_target(message, into);
    }
    if (message.method != "POST")
    {
        return invalid("POST is wanted");
    }
    if (message.target == generations_path)
    {
        into.op = state::operation::reserve;
        return boost::outcome_v2::success();
    }
    if (message.target == "/v1/completions" || message.target == "/v1/chat/completions")
    {
        return read_completion(message.body, into);
    }
    if (message.target.starts_with(services_path))
    {
        return read_service_target(message, into);
    }
    return invalid("no such path");
}

boost::json::object error_object(error_details const& error)
{
    state::error_answer const& answer = state::answer_for(error.kind);
    boost::json::object body;
    body["kind"] = answer.name;
    body["claim"] = state::claim_name(answer.claim);
    body["message"] = answer.message;
    if (!error.detail.empty())
    {
        body["detail"] = error.detail;
    }
    if (error.generation)
    {
        body["generation"] = to_text(error.generation);
        body["next_index"] = error.next_index;
    }
    if (answer.retry_after)
    {
        body["retry_after_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(error.retry_after).count();
    }
    return body;
}

} // namespace

state::result<state::request> decode_request(http_request_view const& message,
                                             state::time_point now)
{
    request decoded;
    BOOST_OUTCOME_TRYV(read_headers(message, now, decoded));
    BOOST_OUTCOME_TRYV(read_target(message, decoded));
    return decoded;
}

std::string token_event(event_id const& id, std::string_view text)
{
    std::string event = "id: " + to_text(id) + "\ndata: {\"choices\":[{\"index\":0,\"text\":";
    event += boost::json::serialize(boost::json::string_view{text.data(), text.size()});
    return event + "}]}\n\n";
}

std::string_view done_event() noexcept
{
    return "data: [DONE]\n\n";
}

std::string error_body(error_details const& error)
{
    return boost::json::serialize(boost::json::object{{"error", error_object(error)}});
}

std::string error_event(error_details const& error)
{
    return "event: error\ndata: " + error_body(error) + "\n\n";
}

std::string completion_body(state::generation_id const& id, std::string_view text,
                            std::uint32_t tokens)
{
    boost::json::object body;
    body["id"] = to_text(id);
    body["choices"] = boost::json::array{boost::json::object{{"index", 0}, {"text", text}}};
    body["usage"] = boost::json::object{{"completion_tokens", tokens}};
    return boost::json::serialize(body);
}

std::string reservation_body(state::generation_id const& id)
{
    return boost::json::serialize(boost::json::object{{"generation", to_text(id)}});
}

} // namespace plumdale::protocol
