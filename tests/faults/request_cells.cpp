#include "cell.hpp"
#include "request_faults.hpp"

#include <algorithm>
#include <array>

namespace plumdale::faults
{

using namespace test;
using coordination::safeguard;
using coordination::safeguard_set;

namespace
{

// -- steps ----------------------------------------------------------------------------------------

/// \brief One row of the matrix: `reached` returns whether the target order is at the step.
struct request_step
{
    std::string_view name;
    bool (*reached)(request_fleet const& fleet, order const& target_order);
};

engine_run const* run_of(request_fleet const& fleet, order const& target_order)
{
    auto const found =
        std::find_if(fleet.runs.begin(), fleet.runs.end(),
                     [&](engine_run const& run) { return run.request == target_order.name; });
    return found == fleet.runs.end() ? nullptr : &*found;
}

bool received(request_fleet const& /*fleet*/, order const& /*aimed*/)
{
    return true;
}

bool reserved(request_fleet const& /*fleet*/, order const& target_order)
{
    return static_cast<bool>(target_order.generation);
}

bool dispatched(request_fleet const& fleet, order const& target_order)
{
    return run_of(fleet, target_order) != nullptr;
}

bool first_token(request_fleet const& fleet, order const& target_order)
{
    engine_run const* const run = run_of(fleet, target_order);
    return run != nullptr && run->generated >= 1;
}

bool mid_stream(request_fleet const& fleet, order const& target_order)
{
    engine_run const* const run = run_of(fleet, target_order);
    return run != nullptr && run->generated >= run->length / 2;
}

bool last_token(request_fleet const& fleet, order const& target_order)
{
    engine_run const* const run = run_of(fleet, target_order);
    return run != nullptr && run->generated == run->length;
}

bool delivered(request_fleet const& /*fleet*/, order const& target_order)
{
    return target_order.ended;
}

constexpr std::string_view drained_step = "drained";
constexpr std::string_view reserved_step = "reserved";

constexpr std::array steps{
    request_step{"received", &received},     request_step{reserved_step, &reserved},
    request_step{"dispatched", &dispatched}, request_step{"first token", &first_token},
    request_step{"mid stream", &mid_stream}, request_step{"last token", &last_token},
    request_step{"delivered", &delivered},   request_step{drained_step, &mid_stream},
};

// -- one run of one cell --------------------------------------------------------------------------

/// \brief Longer than keys are remembered, so that no VM counts as recently started.
constexpr duration warm_up = 66s;
constexpr std::size_t background_orders = 9;

/// \brief A cell's run: ten orders, the faults when the first order reaches the step, then nine
/// more orders.
class request_cell_run
{
public:
    request_cell_run(request_step const& step, std::span<request_fault const* const> faults,
                     std::uint64_t seed, safeguard_set safeguards)
        : step_{step}, faults_{faults}, fleet_{{6, 6, 3, safeguards, 60s, 20ms}, seed, callers_}
    {
        callers_.fleet = &fleet_;
    }

    violations result()
    {
        fleet_.loop.after(warm_up, [this] { begin(); });
        fleet_.loop.run_until(fleet_.loop.now() + warm_up + 150s);
        callers_.check();
        bool const expects_all_whole =
            faults_.size() == 1 && faults_.front()->expects_all_whole && step_.name != drained_step;
        if (expects_all_whole && callers_.whole() != callers_.orders.size())
        {
            for (order const& each : callers_.orders)
            {
                if (!each.whole)
                {
                    callers_.add_violation(each.name +
                                           ": not answered in full under a fault that allows it, " +
                                           checked_callers::description(each));
                }
            }
        }
        return callers_.violations;
    }

private:
    void begin()
    {
        bool const reserves = step_.name == reserved_step;
        order_kind const kind = reserves ? order_kind::reserved_draft : any_kind();
        target_index_ = begin_order(kind, reserves ? 500ms : 0ms);
        begin_background_orders();
        await_step(20'000);
    }

    order_kind any_kind()
    {
        return static_cast<order_kind>(fleet_.random() %
                                       static_cast<std::size_t>(order_kind::count));
    }

    std::size_t begin_order(order_kind kind, duration run_delay)
    {
        bool const numbered = fleet_.random() % 2 == 0;
        return callers_.begin(kind, fleet_.random() % fleet_.nodes.size(),
                              [&](order& each)
                              {
                                  each.numbered = numbered;
                                  each.run_delay = run_delay;
                                  for (request_fault const* fault : faults_)
                                  {
                                      if (fault->prepare != nullptr)
                                      {
                                          fault->prepare(each);
                                      }
                                  }
                              });
    }

    void begin_background_orders()
    {
        for (std::size_t i = 0; i < background_orders; ++i)
        {
            fleet_.loop.after(std::chrono::milliseconds{fleet_.random() % 600},
                              [this] { begin_order(any_kind(), {}); });
        }
    }

    void await_step(int left)
    {
        if (left > 0 && !step_.reached(fleet_, callers_.orders[target_index_]))
        {
            return fleet_.loop.after(1ms, [this, left] { await_step(left - 1); });
        }
        if (step_.name == drained_step)
        {
            fleet_.drain_node(callers_.orders[target_index_].node);
        }
        for (request_fault const* fault : faults_)
        {
            fleet_.loop.after(std::chrono::milliseconds{fleet_.random() % 100},
                              [this, fault] {
                                  fault->inject({fleet_, callers_, target_index_});
                              });
        }
        // Callers that repeat a call before it is answered, and orders that begin after the faults.
        repeat_later(target_index_);
        fleet_.loop.after(std::chrono::milliseconds{fleet_.random() % 12'000},
                          [this]
                          {
                              std::size_t const first = callers_.orders.size();
                              begin_background_orders();
                              fleet_.loop.after(1s,
                                                [this, first]
                                                {
                                                    for (std::size_t i = first;
                                                         i < callers_.orders.size(); ++i)
                                                    {
                                                        repeat_later(i);
                                                    }
                                                });
                          });
    }

    void repeat_later(std::size_t which)
    {
        if (fleet_.random() % 2 == 0)
        {
            fleet_.loop.after(
                std::chrono::milliseconds{1 + fleet_.random() % 5000}, [this, which]
                { callers_.send_duplicate(which, fleet_.random() % fleet_.nodes.size()); });
        }
    }

    request_step const& step_;
    std::span<request_fault const* const> faults_;
    checked_callers callers_;
    request_fleet fleet_;
    std::size_t target_index_ = 0;
};

cell make_cell(request_step const& step, std::vector<request_fault const*> faults, std::string name)
{
    return {std::string{step.name},
            std::move(name),
            [&step, faults = std::move(faults)](std::uint64_t seed, safeguard_set safeguards) {
                return request_cell_run{step, faults, seed, safeguards}.result();
            },
            {}};
}

} // namespace

// -- the table ------------------------------------------------------------------------------------

std::vector<cell> request_cells()
{
    std::vector<cell> cells;
    for (request_step const& step : steps)
    {
        for (request_fault const& fault : request_faults())
        {
            cells.push_back(make_cell(step, {&fault}, std::string{fault.name}));
        }
    }
    return cells;
}

std::vector<cell> request_pair_cells()
{
    std::vector<cell> cells;
    auto const faults = request_faults();
    for (std::size_t i = 0; i < faults.size(); ++i)
    {
        for (std::size_t j = i + 1; j < faults.size(); ++j)
        {
            request_step const& step = steps[cells.size() % steps.size()];
            std::string name = std::string{faults[i].name} + " + " + std::string{faults[j].name};
            cells.push_back(make_cell(step, {&faults[i], &faults[j]}, std::move(name)));
        }
    }
    return cells;
}

std::vector<guarded_cell> request_guards()
{
    return {
        {safeguard::identity_mac, "delivered", "forged identity"},
        {safeguard::single_owner, "mid stream", "caller repeats"},
        {safeguard::dispatch_once, "mid stream", "caller repeats"},
        {safeguard::identity_per_start, "received", "engine dies + wrong tokens"},
        {safeguard::key_home, "mid stream", "caller repeats"},
        {safeguard::key_doubt, "mid stream", "restarts empty"},
        {safeguard::key_takeover, "received", "zone cut"},
        {safeguard::token_identity, "received", "wrong tokens"},
        {safeguard::token_index, "received", "wrong tokens"},
        {safeguard::restart_unsent, "mid stream", "engine dies"},
        {safeguard::restart_repeatable, "dispatched", "engine dies"},
        {safeguard::truthful_refusal, "dispatched", "engine dies"},
        {safeguard::silence_resume, "mid stream", "connection silent"},
        {safeguard::pause_recheck, "received", "pauses and wakes"},
        {safeguard::single_caller, "mid stream", "caller repeats"},
        {safeguard::detached_finish, "mid stream", "caller leaves"},
        {safeguard::deadline_answer, "received", "deadline passes"},
        {safeguard::slow_reader_bound, "first token", "caller stalls"},
        {safeguard::drain_waits, "drained", "drains"},
    };
}

} // namespace plumdale::faults
