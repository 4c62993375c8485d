#include "commands.hpp"
#include "http_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdlib>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;

/// One call that ran, as the record lists it.
struct call_record
{
    std::string generation;
    std::string path;
    std::string body;
};

/// A plain service: answers `{"ran": n, "path": …, "echo": …}` and records the calls it ran.
class service
{
public:
    service(boost::asio::io_context& io, std::chrono::milliseconds delay) : io_{io}, delay_{delay}
    {
    }

    void handle(http_request const& request, http_exchange_ptr const& exchange)
    {
        if (request.path == "/v1/record")
        {
            exchange->answer(200, record_text());
            return;
        }
        if (request.path == "/control")
        {
            control(request.body);
            exchange->answer(200, "{}");
            return;
        }
        if (refuse_)
        {
            exchange->answer(409, R"({"error":"busy"})", {{"Plumdale-Not-Run", "true"}});
            return;
        }
        run(request, exchange);
    }

private:
    void run(http_request const& request, http_exchange_ptr const& exchange)
    {
        std::string const generation{request.header("plumdale-generation")};
        calls_.push_back({generation, request.path, request.body});
        if (cut_after_run_)
        {
            exchange->cut();
            return;
        }
        json::object body{{"ran", calls_.size()}, {"path", request.path}, {"echo", request.body}};
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay_);
        timer->async_wait([exchange, timer, text = json::serialize(body)](boost::system::error_code)
                          { exchange->answer(200, text); });
    }

    [[nodiscard]] std::string record_text() const
    {
        json::array calls;
        for (call_record const& call : calls_)
        {
            calls.push_back(json::object{
                {"generation", call.generation}, {"path", call.path}, {"body", call.body}});
        }
        return json::serialize(json::object{{"calls", calls}});
    }

    /// `refuse`: answers 409, not run. `cut_after_run`: runs, then closes without an answer.
    void control(std::string const& body)
    {
        json::object const wanted = json::parse(body).as_object();
        if (auto const* value = wanted.if_contains("refuse"))
        {
            refuse_ = value->as_bool();
        }
        if (auto const* value = wanted.if_contains("cut_after_run"))
        {
            cut_after_run_ = value->as_bool();
        }
        if (auto const* value = wanted.if_contains("delay_ms"))
        {
            delay_ = std::chrono::milliseconds{value->to_number<int>()};
        }
        if (wanted.contains("die"))
        {
            std::_Exit(EXIT_FAILURE);
        }
    }

    boost::asio::io_context& io_;
    std::chrono::milliseconds delay_;
    std::vector<call_record> calls_;
    bool refuse_ = false;
    bool cut_after_run_ = false;
};

} // namespace

int run_service(arguments args)
{
    TCLAP::CmdLine line{"A plain service.", ' ', "0.1"};
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "0 picks a free port", false, 0, "N", line};
    TCLAP::ValueArg<int> delay{"", "delay-ms", "time an answer takes", false, 5, "N", line};
    line.parse(args);
    boost::asio::io_context io{1};
    service stand_in{io, std::chrono::milliseconds{delay.getValue()}};
    http_server const server{io, port.getValue(),
                             [&](http_request const& request, http_exchange_ptr const& exchange)
                             {
                                 stand_in.handle(request, exchange);
                             }};
    return serve(io, server.port());
}

} // namespace plumdale::standins
