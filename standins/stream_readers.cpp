#include "stream_readers.hpp"

#include "token_text.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;

constexpr std::string_view foreign_identity = "g-1-1-1-1";
constexpr std::uint32_t index_offset = 3;

std::string token_event(std::string_view generation, std::uint32_t index, std::string_view text)
{
    return "data: {\"generation\":" + json::serialize(json::value(generation)) +
           ",\"index\":" + std::to_string(index) + ",\"text\":\"" + std::string{text} + "\"}\n\n";
}

std::string event_for(engine_run const& run, std::uint32_t index)
{
    return token_event(run.generation, index, token_text(run.generation, index, run.mark));
}

} // namespace

token_fault parse_fault(std::string_view name) noexcept
{
    constexpr std::array<std::string_view, 5> names{"none", "garbage", "wrong_index",
                                                    "wrong_identity", "duplicate"};
    auto const* const found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? token_fault::none
                                : static_cast<token_fault>(found - names.begin());
}

void stream_readers::add(std::uint32_t run, http_exchange_ptr const& exchange)
{
    by_run_[run].push_back(exchange);
}

void stream_readers::hold_open(http_exchange_ptr const& exchange)
{
    silent_exchanges_.push_back(exchange);
}

void stream_readers::broadcast_token(engine_run const& run, std::uint32_t index)
{
    auto const found = by_run_.find(run.number);
    if (found == by_run_.end())
    {
        return;
    }
    auto& readers = found->second;
    auto const is_closed = [](http_exchange_ptr const& exchange)
    {
        return exchange->is_closed();
    };
    readers.erase(std::remove_if(readers.begin(), readers.end(), is_closed), readers.end());
    for (http_exchange_ptr const& exchange : readers)
    {
        send_token(*exchange, run, index);
    }
}

void stream_readers::finish_run(engine_run const& run)
{
    auto const found = by_run_.find(run.number);
    if (found == by_run_.end())
    {
        return;
    }
    for (http_exchange_ptr const& exchange : found->second)
    {
        send_done(*exchange, run);
    }
    by_run_.erase(found);
}

void stream_readers::resend(http_exchange& exchange, engine_run const& run, std::uint32_t from,
                            std::uint32_t until)
{
    for (std::uint32_t index = from; index < until; ++index)
    {
        send_token(exchange, run, index);
    }
}

void stream_readers::send_done(http_exchange& exchange, engine_run const& run)
{
    json::object const data{
        {"generation", run.generation}, {"done", true}, {"count", run.generated}};
    exchange.send("data: " + json::serialize(data) + "\n\n");
    exchange.finish();
}

void stream_readers::send_heartbeats()
{
    for (auto const& readers : by_run_)
    {
        for (http_exchange_ptr const& exchange : readers.second)
        {
            exchange->send(": beat\n\n");
        }
    }
}

void stream_readers::cut(std::uint32_t run)
{
    for (http_exchange_ptr const& exchange : by_run_[run])
    {
        exchange->cut();
    }
    by_run_.erase(run);
}

void stream_readers::cut_all()
{
    while (!by_run_.empty())
    {
        cut(by_run_.begin()->first);
    }
    for (http_exchange_ptr const& exchange : silent_exchanges_)
    {
        exchange->cut();
    }
    silent_exchanges_.clear();
}

void stream_readers::silence()
{
    for (auto const& readers : by_run_)
    {
        silent_exchanges_.insert(silent_exchanges_.end(), readers.second.begin(),
                                 readers.second.end());
    }
    by_run_.clear();
}

void stream_readers::inject(token_fault fault, std::uint32_t count) noexcept
{
    fault_ = fault;
    fault_count_ = count;
}

void stream_readers::send_token(http_exchange& exchange, engine_run const& run, std::uint32_t index)
{
    if (fault_count_ > 0)
    {
        --fault_count_;
        send_faulty(exchange, run, index);
        return;
    }
    exchange.send(event_for(run, index));
}

void stream_readers::send_faulty(http_exchange& exchange, engine_run const& run,
                                 std::uint32_t index)
{
    std::string const text = token_text(run.generation, index, run.mark);
    switch (fault_)
    {
    case token_fault::garbage:
        exchange.send("data: {\"generation\": [}\n\n");
        break;
    case token_fault::wrong_index:
        exchange.send(token_event(run.generation, index + index_offset, text));
        break;
    case token_fault::wrong_identity:
        exchange.send(token_event(foreign_identity, index, text));
        break;
    case token_fault::duplicate:
        exchange.send(event_for(run, index));
        exchange.send(event_for(run, index));
        break;
    case token_fault::none:
        exchange.send(event_for(run, index));
        break;
    }
}

} // namespace plumdale::standins
