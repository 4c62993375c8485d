#include "commands.hpp"
#include "engine.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>

namespace plumdale::standins
{
namespace
{

std::chrono::microseconds from_milliseconds(double time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>{time});
}

} // namespace

int run_engine(arguments args)
{
    TCLAP::CmdLine line{"A model engine.", ' ', "0.1"};
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "0 picks a free port", false, 0, "N", line};
    TCLAP::ValueArg<std::string> zone{"", "zone", "shown in the name", false, "a", "NAME", line};
    TCLAP::ValueArg<std::string> model{"", "model", "model served", false, "lists", "NAME", line};
    TCLAP::ValueArg<double> token{"", "token-ms", "time a step takes", false, 5, "MS", line};
    TCLAP::ValueArg<double> each{"", "each-ms", "added for each sequence", false, 0.1, "MS", line};
    TCLAP::ValueArg<std::uint32_t> blocks{"", "blocks", "blocks of memory", false, 2000, "N", line};
    TCLAP::ValueArg<std::uint32_t> batch{"",  "max-batch", "sequences in a batch", false, 48,
                                         "N", line};
    TCLAP::ValueArg<std::uint32_t> cache{
        "", "cache-blocks", "blocks for cached prefixes", false, 500, "N", line};
    TCLAP::ValueArg<int> lag{"", "load-lag-ms", "age of a load report", false, 0, "MS", line};
    TCLAP::ValueArg<int> cache_lag{"",  "cache-lag-ms", "delay of cache events", false, 500, "MS",
                                   line};
    TCLAP::ValueArg<std::uint32_t> gaps{"",        "cache-gap", "cache events lost", false, 5,
                                        "PERCENT", line};
    TCLAP::ValueArg<int> retain{"",   "retain-ms", "time to resume a finished stream", false, 60000,
                                "MS", line};
    TCLAP::ValueArg<int> load{"", "load-ms", "time to load other weights", false, 0, "MS", line};
    TCLAP::ValueArg<std::uint64_t> seed{"",  "seed", "seed for lost cache events", false, 1,
                                        "N", line};
    TCLAP::ValueArg<std::uint64_t> incarnation_number{
        "", "uptime", "incarnation; 0 uses the start time", false, 0, "N", line};
    TCLAP::SwitchArg unfenced{"", "unfenced", "accept orders with any fence", line};
    line.parse(args);

    engine_settings settings;
    settings.model = model.getValue();
    settings.blocks_total = blocks.getValue();
    settings.max_batch = batch.getValue();
    settings.cache_blocks = std::min(cache.getValue(), blocks.getValue() / 4);
    settings.step = from_milliseconds(token.getValue());
    settings.step_per_sequence = from_milliseconds(each.getValue());
    engine_wire_settings wire;
    wire.reports.load_lag = std::chrono::milliseconds{lag.getValue()};
    wire.reports.cache_lag = std::chrono::milliseconds{cache_lag.getValue()};
    wire.reports.cache_gap_percent = gaps.getValue();
    wire.reports.seed = seed.getValue();
    wire.retain_finished = std::chrono::milliseconds{retain.getValue()};
    wire.load_weights = std::chrono::milliseconds{load.getValue()};
    wire.incarnation_number = incarnation_number.getValue();
    wire.fences_orders = !unfenced.getValue();

    boost::asio::io_context io{1};
    std::unique_ptr<engine> stand_in;
    http_server const server{io, port.getValue(),
                             [&](http_request const& request, http_exchange_ptr const& exchange)
                             {
                                 stand_in->handle(request, exchange);
                             }};
    settings.name = zone.getValue() + ":" + std::to_string(server.port());
    stand_in = std::make_unique<engine>(io, settings, wire);
    return serve(io, server.port());
}

} // namespace plumdale::standins
