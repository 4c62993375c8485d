#include "engine.hpp"

#include "json_members.hpp"

#include <array>
#include <cstdlib>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;

constexpr std::string_view streams_path = "/v1/streams/";

std::uint64_t incarnation_from_clock()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(now / std::chrono::microseconds{1});
}

stream_request decode(json::object const& from)
{
    return {string_member(from, "generation"),
            string_member(from, "model"),
            string_member(from, "kind"),
            string_member(from, "prompt"),
            number_member<std::uint32_t>(from, "max_tokens"),
            number_member<std::int32_t>(from, "priority")};
}

std::string_view state_name(run_state state)
{
    constexpr std::array<std::string_view, 4> names{"waiting", "running", "finished", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace

engine::engine(boost::asio::io_context& io, engine_settings const& model,
               engine_wire_settings const& wire)
    : io_{io}, settings_{model}, wire_{wire}, model_{model}, orders_{wire.fences_orders,
                                                                     wire.load_weights},
      reports_{wire.reports,
               wire.incarnation_number == 0 ? incarnation_from_clock() : wire.incarnation_number},
      step_timer_{io}, load_timer_{io}, heartbeat_timer_{io}
{
    sample_load();
    send_heartbeats();
}

void engine::handle(http_request const& request, http_exchange_ptr const& exchange)
{
    if (request.path == "/control")
    {
        control(request, exchange);
    }
    else if (request.path == "/v1/record")
    {
        exchange->answer(200, record_text());
    }
    else if (silent_)
    {
        readers_.hold_open(exchange);
    }
    else
    {
        serve(request, exchange);
    }
}

// -- calls of an entry VM ------------------------------------------------------------------------

void engine::serve(http_request const& request, http_exchange_ptr const& exchange)
{
    std::string const& path = request.path;
    if (path == "/v1/streams")
    {
        start_stream(request, exchange);
    }
    else if (path.compare(0, streams_path.size(), streams_path) == 0)
    {
        serve_stream(request, exchange);
    }
    else if (path == "/v1/load")
    {
        exchange->answer(200, reports_.load_text(clock::now()));
    }
    else if (path == "/v1/cache/events")
    {
        std::uint64_t const after = request.number("after").value_or(0);
        exchange->answer(200, reports_.cache_text(after, clock::now()));
    }
    else if (path == "/v1/orders")
    {
        handle_order(request, exchange);
    }
    else
    {
        exchange->answer(404, R"({"error":"not found"})");
    }
}

void engine::serve_stream(http_request const& request, http_exchange_ptr const& exchange)
{
    engine_run const* const run = model_.find(request.path.substr(streams_path.size()));
    if (run == nullptr || is_retention_expired(*run))
    {
        exchange->answer(404, R"({"error":"unknown_generation"})");
    }
    else if (request.method == "DELETE")
    {
        cancel_stream(*run, exchange);
    }
    else
    {
        auto const from = static_cast<std::uint32_t>(request.number("from").value_or(0));
        resume_stream(*run, from, exchange);
    }
}

void engine::start_stream(http_request const& request, http_exchange_ptr const& exchange)
{
    json::object const body = parse_object(request.body);
    if (body.empty())
    {
        exchange->answer(400, R"({"error":"malformed"})");
        return;
    }
    stream_request const wanted = decode(body);
    if (refuse_ || wanted.model != settings_.model || !orders_.serves(wanted.kind, clock::now()))
    {
        exchange->answer(409, R"({"error":"not run"})");
        return;
    }
    std::uint32_t const run = model_.start(wanted);
    delivered_.push_back(0);
    if (clock::now() >= leaving_since_)
    {
        started_while_leaving_.insert(run);
    }
    exchange->begin_events();
    readers_.add(run, exchange);
    step();
}

void engine::resume_stream(engine_run const& run, std::uint32_t from,
                           http_exchange_ptr const& exchange)
{
    exchange->begin_events();
    readers_.resend(*exchange, run, from, delivered_[run.number]);
    if (run.state == run_state::cancelled)
    {
        exchange->cut();
    }
    else if (ended_at_.count(run.number) != 0)
    {
        stream_readers::send_done(*exchange, run);
    }
    else
    {
        readers_.add(run.number, exchange);
    }
}

void engine::cancel_stream(engine_run const& run, http_exchange_ptr const& exchange)
{
    if (!ignore_cancels_)
    {
        model_.cancel(run.generation);
    }
    if (run.state == run_state::cancelled)
    {
        ended_at_.emplace(run.number, clock::now());
        readers_.cut(run.number);
    }
    exchange->answer(200, json::serialize(json::object{{"ran", run.generated}}));
}

void engine::handle_order(http_request const& request, http_exchange_ptr const& exchange)
{
    if (request.method == "GET")
    {
        exchange->answer(200, orders_.text());
        return;
    }
    json::object const wanted = parse_object(request.body);
    if (wanted.empty())
    {
        exchange->answer(400, R"({"error":"malformed"})");
        return;
    }
    bool const accepted =
        orders_.apply({number_member<std::uint64_t>(wanted, "fence"), string_member(wanted, "role"),
                       string_member(wanted, "version"), string_member(wanted, "adapter")},
                      clock::now());
    exchange->answer(accepted ? 200 : 409, orders_.text());
}

bool engine::is_retention_expired(engine_run const& run) const
{
    auto const end = ended_at_.find(run.number);
    return end != ended_at_.end() && clock::now() - end->second > wire_.retain_finished;
}

// -- calls of tests ------------------------------------------------------------------------------

std::string engine::record_text() const
{
    json::array runs;
    for (engine_run const& run : model_.runs())
    {
        runs.push_back(
            json::object{{"generation", run.generation},
                         {"kind", run.kind},
                         {"mark", std::string(1, run.mark)},
                         {"state", state_name(run.state)},
                         {"generated", run.generated},
                         {"length", run.length},
                         {"preemptions", run.preemptions},
                         {"started_while_leaving", started_while_leaving_.count(run.number) != 0}});
    }
    return json::serialize(json::object{{"runs", std::move(runs)}, {"orders", orders_.record()}});
}

// Members: "tokens" {"fault", "count"}, "silence" (open streams send nothing more, new ones work),
// "silent" (no call is answered), "slow" (factor on step times), "refuse" (new streams),
// "cancel_loses" (cancels are answered but ignored), "cut" (closes open streams), "leaving_ms"
// (streams started after this delay are recorded as started while leaving), "reclaim_ms" (exits
// after this delay), "die" (exits at once).
void engine::control(http_request const& request, http_exchange_ptr const& exchange)
{
    json::object const wanted = parse_object(request.body);
    if (auto const* tokens = wanted.if_contains("tokens"))
    {
        readers_.inject(parse_fault(string_member(tokens->as_object(), "fault")),
                        number_member<std::uint32_t>(tokens->as_object(), "count"));
    }
    if (wanted.contains("silence"))
    {
        readers_.silence();
    }
    if (wanted.contains("cut"))
    {
        readers_.cut_all();
    }
    silent_ = bool_member(wanted, "silent", silent_);
    refuse_ = bool_member(wanted, "refuse", refuse_);
    ignore_cancels_ = bool_member(wanted, "cancel_loses", ignore_cancels_);
    slowdown_ = number_member<double>(wanted, "slow", slowdown_);
    if (wanted.contains("leaving_ms"))
    {
        leaving_since_ =
            clock::now() + std::chrono::milliseconds{number_member<int>(wanted, "leaving_ms")};
    }
    if (wanted.contains("reclaim_ms"))
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            io_, std::chrono::milliseconds{number_member<int>(wanted, "reclaim_ms")});
        timer->async_wait([timer](boost::system::error_code) { std::_Exit(EXIT_FAILURE); });
    }
    if (wanted.contains("die"))
    {
        std::_Exit(EXIT_FAILURE);
    }
    exchange->answer(200, "{}");
}

// -- timers --------------------------------------------------------------------------------------

void engine::step()
{
    if (step_pending_ || model_.idle())
    {
        return;
    }
    engine_step done = model_.step();
    reports_.add_cache_events(model_.cache().take_events(), clock::now());
    step_pending_ = true;
    step_timer_.expires_after(
        std::chrono::duration_cast<std::chrono::microseconds>(done.duration * slowdown_));
    step_timer_.async_wait(
        [this, done = std::move(done)](boost::system::error_code failed)
        {
            if (!failed)
            {
                step_pending_ = false;
                deliver(done);
                step();
            }
        });
}

void engine::deliver(engine_step const& done)
{
    for (step_output const& output : done.outputs)
    {
        engine_run const& run = model_.runs()[output.run];
        if (run.state == run_state::cancelled)
        {
            continue;
        }
        if (output.done)
        {
            ended_at_.emplace(run.number, clock::now());
            readers_.finish_run(run);
        }
        else
        {
            delivered_[run.number] = output.index + 1;
            readers_.broadcast_token(run, output.index);
        }
    }
}

void engine::sample_load()
{
    reports_.add_load(model_.load(), clock::now());
    load_timer_.expires_after(wire_.load_sample_interval);
    load_timer_.async_wait(
        [this](boost::system::error_code failed)
        {
            if (!failed)
            {
                sample_load();
            }
        });
}

void engine::send_heartbeats()
{
    readers_.send_heartbeats();
    heartbeat_timer_.expires_after(wire_.heartbeat_interval);
    heartbeat_timer_.async_wait(
        [this](boost::system::error_code failed)
        {
            if (!failed)
            {
                send_heartbeats();
            }
        });
}

} // namespace plumdale::standins
