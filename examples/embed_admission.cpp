#include <plumdale/coordination/overflow_limit.hpp>

#include <iostream>

// Embeds admission alone: a load forecaster that projects one engine's memory from its report and
// its open streams, and the limit that decides whether one more stream fits.

int main()
{
    using namespace plumdale;
    using namespace plumdale::coordination;

    length_estimator lengths{1000};
    load_forecaster forecaster{lengths};
    overflow_limit limit;
    limit.configure(state::preset{});

    upstream_gauge engine;
    engine.blocks_total = 4096; // Of 16 tokens each.
    engine.blocks_used = 2500;
    engine.running = 20;
    state::time_point now{std::chrono::seconds{100}};
    engine.reported_at = now.time_since_epoch().count();

    auto const drafts =
        lengths.open({state::id_from_name<state::customer_id>("sablah"),
                      state::id_from_name<state::model_id>("faq"), state::work_kind::draft});
    load_forecast const wanted = forecaster.forecast(drafts, 0, 400, 0);
    int admitted = 0;
    while (limit.check(forecaster.forecast(engine, now), wanted, state::work_kind::draft, 1.0) ==
           capacity_status::free)
    {
        engine.in_flight.fetch_add(1);
        load_forecaster::update_gauge(engine, {}, load_forecaster::rounded(400, wanted), now);
        ++admitted;
    }
    std::cout << admitted << " drafts fit beside the load that the engine reports\n";
    return 0;
}
