#include <plumdale/protocol/engine_codec.hpp>
#include <plumdale/protocol/generation_text.hpp>
#include <plumdale/protocol/json_reader.hpp>
#include <plumdale/protocol/role_text.hpp>

#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

namespace plumdale::protocol
{
namespace
{

constexpr std::string_view data_prefix = "data:";

state::failure fault(std::string detail)
{
    return {state::error_kind::upstream_fault, std::move(detail)};
}

std::string_view kind_name(state::work_kind kind)
{
    return kind == state::work_kind::draft ? "draft" : "question";
}

// Returns a required member as a number of 32 bits.
state::result<std::uint32_t> required_number(boost::json::object const& object,
                                             std::string_view name)
{
    std::uint64_t const value = number_or(object, name, UINT64_MAX, UINT32_MAX);
    if (value == UINT64_MAX)
    {
        return fault(std::string{name} + ": a number is wanted");
    }
    return static_cast<std::uint32_t>(value);
}

std::string text_or_empty(boost::json::object const& object, std::string_view name)
{
    boost::json::string const* const text = find_string(object, name);
    return text == nullptr ? std::string{} : std::string{*text};
}

state::generation_id generation_of(boost::json::object const& object)
{
    boost::json::string const* const text = find_string(object, "generation");
    return text == nullptr ? state::generation_id{}
                           : parse_generation_id(*text).value_or(state::generation_id{});
}

} // namespace

std::string start_body(engine_start const& start)
{
    boost::json::object body;
    body["generation"] = to_text(start.generation);
    body["model"] = start.model;
    body["kind"] = kind_name(start.kind);
    body["prompt"] = start.prompt;
    body["max_tokens"] = start.max_tokens;
    body["priority"] = start.kind == state::work_kind::draft ? 1 : 0;
    return boost::json::serialize(body);
}

state::result<engine_event> decode_engine_event(std::string_view data)
{
    auto parsed = parse_object(data);
    if (!parsed)
    {
        return fault(parsed.error().detail);
    }
    boost::json::object const& object = parsed.value();
    if (flag_or(object, "done", false))
    {
        BOOST_OUTCOME_TRY(auto const count, required_number(object, "count"));
        return engine_event{engine_done{generation_of(object), count}};
    }
    BOOST_OUTCOME_TRY(auto const index, required_number(object, "index"));
    boost::json::string const* const text = find_string(object, "text");
    if (text == nullptr)
    {
        return fault("text: a string is wanted");
    }
    return engine_event{engine_token{generation_of(object), index, std::string{*text}}};
}

state::result<state::load_report> decode_load(std::string_view body)
{
    auto parsed = parse_object(body);
    if (!parsed)
    {
        return fault(parsed.error().detail);
    }
    boost::json::object const& object = parsed.value();
    constexpr std::uint64_t max_age_ms = 3'600'000;
    state::load_report report;
    report.sequence = number_or(object, "sequence", 0);
    report.incarnation_number = state::incarnation{number_or(object, "uptime", 0)};
    report.age = std::chrono::milliseconds{number_or(object, "age_ms", 0, max_age_ms)};
    report.preemptions = number_or(object, "preemptions", 0);
    report.leaving = flag_or(object, "leaving", false);
    BOOST_OUTCOME_TRY(report.blocks_total, required_number(object, "blocks_total"));
    BOOST_OUTCOME_TRY(report.blocks_used, required_number(object, "blocks_used"));
    BOOST_OUTCOME_TRY(report.block_tokens, required_number(object, "block_tokens"));
    BOOST_OUTCOME_TRY(report.running, required_number(object, "running"));
    BOOST_OUTCOME_TRY(report.waiting, required_number(object, "waiting"));
    return report;
}

std::string order_body(state::engine_order const& order)
{
    boost::json::object body;
    body["fence"] = order.fence;
    body["role"] = role_name(order.role);
    body["version"] = order.version;
    body["adapter"] = order.adapter;
    return boost::json::serialize(body);
}

state::result<state::engine_order> decode_order(std::string_view body)
{
    auto parsed = parse_object(body);
    if (!parsed)
    {
        return fault(parsed.error().detail);
    }
    boost::json::object const& object = parsed.value();
    boost::json::string const* const role = find_string(object, "role");
    auto const known = role == nullptr ? std::nullopt : role_from_name(*role);
    if (!known)
    {
        return fault("role: mixed, drafts, questions or idle is wanted");
    }
    state::engine_order order;
    order.fence = number_or(object, "fence", 0);
    order.role = *known;
    order.version = text_or_empty(object, "version");
    order.adapter = text_or_empty(object, "adapter");
    return order;
}

bool event_data_splitter::append(std::string_view bytes)
{
    if (start_ > 0)
    {
        buffer_.erase(0, start_);
        start_ = 0;
    }
    buffer_ += bytes;
    return buffer_.size() < line_limit || buffer_.find('\n') != std::string::npos;
}

bool event_data_splitter::next(std::string& data)
{
    for (;;)
    {
        std::size_t const end = buffer_.find('\n', start_);
        if (end == std::string::npos)
        {
            return false;
        }
        std::string_view line{buffer_.data() + start_, end - start_};
        start_ = end + 1;
        if (line.starts_with(data_prefix))
        {
            line.remove_prefix(data_prefix.size());
            data = line;
            return true;
        }
    }
}

} // namespace plumdale::protocol
