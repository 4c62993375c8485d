#pragma once

#include "engine_model.hpp"
#include "measures.hpp"
#include "oracle.hpp"
#include "scenario.hpp"

#include <plumdale/coordination/dispatch_policy.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Runs deciders, the dispatch side of entry VMs, against engine models in an event loop in
/// virtual time.

namespace bench
{

namespace co = plumdale::coordination;
namespace st = plumdale::state;

/// \brief Arguments of the factory of a policy under test.
struct policy_context
{
    st::node_id node;
    st::zone_id zone;
    std::uint64_t seed;
    ground_truth truth;
};
using policy_factory = std::function<std::unique_ptr<co::dispatch_policy>(policy_context const&)>;

/// \brief One run of one policy in one scenario.
class fleet_run
{
public:
    fleet_run(scenario const& chosen, policy_factory const& factory)
        : scenario_{chosen}, source_{scenario_}, model_{st::id_from_name<st::model_id>("lists")}
    {
        result_.customers.resize(demand_source::customers);
        auto const slices = static_cast<std::size_t>(chosen.seconds / measures::slice_seconds) + 1;
        result_.preemptions.resize(slices);
        result_.answers.resize(slices);
        result_.seconds = chosen.seconds - chosen.warm_up;
        make_engines();
        for (std::uint32_t i = 0; i < chosen.entry_vms; ++i)
        {
            make_decider(i, factory);
        }
        push(at(0.0), event_kind::arrival, 0);
        push(at(0.0), event_kind::sample, 0);
        if (chosen.fault != fault_kind::none)
        {
            push(at(chosen.fault_at), event_kind::fault_begins, 0);
        }
    }

    measures run()
    {
        time_point const end = at(scenario_.seconds);
        while (queue_.top().when < end)
        {
            event const next = queue_.top();
            queue_.pop();
            now_ = next.when;
            handle(next);
        }
        return std::move(result_);
    }

    /// \brief Sets the preset that a `switching` run alternates with.
    void alternate_with(st::preset other)
    {
        other_preset_ = std::move(other);
    }

    /// \brief Calls `visit` with each decider's policy.
    template <class Visitor>
    void for_each_policy(Visitor visit) const
    {
        for (auto const& each : deciders_)
        {
            visit(*each.policy);
        }
    }

private:
    enum class event_kind : std::uint8_t
    {
        arrival,
        step,
        reevaluate,
        reports,
        sample,
        fault_begins,
        fault_noticed,
        fault_ends
    };

    struct event
    {
        time_point when;
        std::uint64_t order;
        event_kind kind;
        std::uint32_t index;
        friend bool operator<(event const& a, event const& b)
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    struct run_state
    {
        st::request request;
        demand wanted;
        time_point received;
        time_point last_token;
        std::uint32_t decider = 0;
        std::uint32_t engine = 0;
        std::uint32_t starts = 0;
        std::uint32_t tokens = 0;
        double stall = 0.0;
        bool active = false;
        bool ran = false;
        bool refused = false; ///< The caller received a refusal that says "not run".
        std::vector<st::upstream_id> failed;
    };

    struct engine_state
    {
        std::uint32_t zone = 0;
        st::upstream_id id;
        bool alive = true;
        bool leaving = false;
        bool stepping = false;
        std::uint32_t incarnation_number = 1;
        std::uint64_t preemptions = 0;
        std::deque<st::load_report> samples;
    };

    struct decider
    {
        std::uint32_t zone = 0;
        st::node_id node;
        std::vector<std::shared_ptr<co::upstream_gauge>> gauges;
        std::shared_ptr<co::fleet_snapshot> fleet;
        std::unique_ptr<co::dispatch_policy> policy;
        std::vector<std::uint32_t> waiting;
    };

    static constexpr duration sample_interval = std::chrono::milliseconds{250};
    static constexpr duration report_interval = std::chrono::milliseconds{500};
    static constexpr std::size_t report_lag = 4;   ///< In samples: a report is one second old.
    static constexpr double stall_threshold = 0.2; ///< Seconds; the excess is a stall.

    static time_point at(double seconds)
    {
        return time_point{
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds + 1000.0})};
    }
    [[nodiscard]] double seconds_now() const
    {
        return seconds(now_ - at(0.0));
    }
    static double seconds(duration span)
    {
        return std::chrono::duration<double>(span).count();
    }
    [[nodiscard]] bool past_warm_up() const
    {
        return now_ >= at(scenario_.warm_up);
    }
    kind_measures& measures_of(run_state const& run)
    {
        return run.wanted.question ? result_.question : result_.draft;
    }
    void push(time_point when, event_kind kind, std::uint32_t index)
    {
        queue_.push({when, ++order_, kind, index});
    }

    // -- setting up -------------------------------------------------------------------------------

    void make_engines();

    void make_decider(std::uint32_t index, policy_factory const& factory);

    static st::zone_id zone_id_of(std::uint32_t zone)
    {
        return st::zone_id{zone + 1};
    }

    static std::shared_ptr<co::upstream_gauge> new_gauge(time_point seen)
    {
        auto gauge = std::make_shared<co::upstream_gauge>();
        gauge->first_seen = seen.time_since_epoch().count();
        gauge->reported_at = seen.time_since_epoch().count();
        return gauge;
    }

    [[nodiscard]] bool cut_between(std::uint32_t a, std::uint32_t b) const
    {
        return zone_cut_ && a != b && (a == 0 || b == 0);
    }

    void publish(decider& each);

    // -- events -----------------------------------------------------------------------------------

    void handle(event const& next)
    {
        switch (next.kind)
        {
        case event_kind::arrival:
            return receive_request();
        case event_kind::step:
            return step(next.index);
        case event_kind::reevaluate:
            return reevaluate(next.index);
        case event_kind::reports:
            return read_reports(next.index);
        case event_kind::sample:
            return sample();
        case event_kind::fault_begins:
            return begin_fault();
        case event_kind::fault_noticed:
            fault_noticed_ = true;
            return publish_all();
        case event_kind::fault_ends:
            return end_fault();
        }
    }

    void receive_request()
    {
        run_state run;
        run.wanted = source_.next(seconds_now());
        run.received = now_;
        run.decider = static_cast<std::uint32_t>(source_.random()() % scenario_.entry_vms);
        run.request.kind = run.wanted.question ? st::work_kind::question : st::work_kind::draft;
        run.request.repeatable = run.wanted.question;
        run.request.customer = st::customer_id{run.wanted.customer + 1};
        run.request.model = model_;
        run.request.prompt_tokens = run.wanted.prompt;
        auto const index = static_cast<std::uint32_t>(runs_.size());
        run.request.key = st::idempotency_key_id{index + 1U};
        length_of_[index + 1U] = run.wanted.length;
        if (past_warm_up())
        {
            ++measures_of(run).asked;
            result_.customers[run.wanted.customer].asked_tokens += run.wanted.length;
        }
        runs_.push_back(std::move(run));
        decide(index);
        double const interarrival = source_.interarrival_seconds(seconds_now());
        push(now_ +
                 std::chrono::duration_cast<duration>(std::chrono::duration<double>{interarrival}),
             event_kind::arrival, 0);
    }

    void reevaluate(std::uint32_t index)
    {
        auto& waiting = deciders_[runs_[index].decider].waiting;
        auto const found = std::find(waiting.begin(), waiting.end(), index);
        if (found != waiting.end())
        {
            waiting.erase(found);
            decide(index);
        }
    }

    void decide(std::uint32_t index)
    {
        run_state& run = runs_[index];
        decider& owner = deciders_[run.decider];
        co::dispatch_attempt const attempt{run.request, run.received, run.starts, run.failed};
        co::dispatch_decision const decision = owner.policy->decide(attempt, *owner.fleet, now_);
        switch (decision.verdict)
        {
        case co::dispatch_verdict::dispatch:
            return start(index, *decision.upstream);
        case co::dispatch_verdict::wait:
            owner.waiting.push_back(index);
            return push(decision.reevaluate_at, event_kind::reevaluate, index);
        case co::dispatch_verdict::refuse:
            return refuse(run);
        }
    }

    void refuse(run_state& run)
    {
        // A request that reached an engine may have run, so the refusal does not say "not run".
        run.refused = !run.ran;
        if (run.received < at(scenario_.warm_up))
        {
            return;
        }
        if (run.ran)
        {
            ++measures_of(run).interrupted;
            return;
        }
        ++measures_of(run).refused;
        result_.customers[run.wanted.customer].refused_tokens += run.wanted.length;
    }

    void start(std::uint32_t index, co::upstream_view const& view)
    {
        run_state& run = runs_[index];
        run.engine = engine_of_.at(view.info.id.value);
        ++run.starts;
        result_.retries += run.starts > 1 ? 1 : 0;
        st::stream_handle const stream{index + 1ULL};
        decider& owner = deciders_[run.decider];
        owner.policy->started(stream, run.request, view, now_);
        engine_state const& target = engine_states_[run.engine];
        if (!target.alive || cut_between(owner.zone, target.zone))
        {
            owner.policy->ended(stream, 0, co::stream_outcome::failed, now_);
            run.failed.push_back(view.info.id);
            return decide(index);
        }
        run.active = true;
        run.ran = true;
        run.last_token = now_;
        engines_[run.engine]->add(
            {index, run.wanted.prompt, run.wanted.length, 0, 0, run.wanted.question});
        start_step(run.engine);
    }

    void start_step(std::uint32_t engine)
    {
        if (engine_states_[engine].stepping)
        {
            return;
        }
        duration const length = engines_[engine]->begin_step();
        if (length > duration{})
        {
            engine_states_[engine].stepping = true;
            push(now_ + length, event_kind::step, engine);
        }
    }

    void step(std::uint32_t engine)
    {
        engine_states_[engine].stepping = false;
        ended_.clear();
        engines_[engine]->end_step([this](sequence const& each, bool done)
                                   { record_token(each, done); });
        std::uint64_t const preempted = engines_[engine]->report().preemptions;
        if (preempted > engine_states_[engine].preemptions)
        {
            slice_of(result_.preemptions) += preempted - engine_states_[engine].preemptions;
        }
        engine_states_[engine].preemptions = preempted;
        start_step(engine);
        for (std::uint32_t const index : std::exchange(ended_, {}))
        {
            reevaluate_oldest(runs_[index].decider);
        }
    }

    std::uint64_t& slice_of(std::vector<std::uint64_t>& counts) const
    {
        return counts[static_cast<std::size_t>(seconds_now() / measures::slice_seconds)];
    }

    void record_token(sequence const& each, bool done)
    {
        run_state& run = runs_[each.run];
        decider& owner = deciders_[run.decider];
        st::stream_handle const stream{each.run + 1ULL};
        owner.policy->token(stream, each.tokens - 1, now_);
        double const gap = seconds(now_ - run.last_token);
        run.last_token = now_;
        run.tokens = each.tokens;
        result_.false_refusals += run.refused ? 1 : 0;
        if (past_warm_up())
        {
            kind_measures& kind = measures_of(run);
            (each.tokens == 1 ? kind.first_token : kind.gaps)
                .add(each.tokens == 1 ? seconds(now_ - run.received) : gap);
            kind.stall_seconds += each.tokens > 1 ? std::max(0.0, gap - stall_threshold) : 0.0;
        }
        if (done)
        {
            owner.policy->ended(stream, each.tokens, co::stream_outcome::finished, now_);
            run.active = false;
            ended_.push_back(each.run);
            ++slice_of(result_.answers);
            if (past_warm_up())
            {
                ++measures_of(run).finished;
                measures_of(run).tokens += each.tokens;
            }
        }
    }

    void reevaluate_oldest(std::uint32_t index)
    {
        auto& waiting = deciders_[index].waiting;
        if (!waiting.empty())
        {
            std::uint32_t const oldest = *std::min_element(waiting.begin(), waiting.end());
            reevaluate(oldest);
        }
    }

    void sample()
    {
        for (std::uint32_t i = 0; i < scenario_.engines; ++i)
        {
            auto& samples = engine_states_[i].samples;
            samples.push_back(engines_[i]->report());
            if (samples.size() > report_lag + 1)
            {
                samples.pop_front();
            }
        }
        push(now_ + sample_interval, event_kind::sample, 0);
    }

    void read_reports(std::uint32_t index)
    {
        decider& owner = deciders_[index];
        for (std::uint32_t i = 0; i < scenario_.engines; ++i)
        {
            engine_state const& target = engine_states_[i];
            if (!target.alive || cut_between(owner.zone, target.zone) || target.samples.empty())
            {
                continue;
            }
            st::load_report const& report = target.samples.front();
            auto const age = sample_interval * (target.samples.size() - 1);
            co::upstream_gauge& gauge = *owner.gauges[i];
            gauge.reported_at = (now_ - age).time_since_epoch().count();
            gauge.blocks_total = report.blocks_total;
            gauge.blocks_used = report.blocks_used;
            gauge.block_tokens = report.block_tokens;
            gauge.running = report.running;
            gauge.waiting = report.waiting;
            gauge.preemptions = report.preemptions;
            ++gauge.report_sequence;
        }
        push(now_ + report_interval, event_kind::reports, index);
    }

    // -- faults: fleet_run_faults.hpp -------------------------------------------------------------

    void publish_all();
    void fail_run(std::uint32_t index);
    void kill(std::uint32_t engine);
    void begin_fault();
    void fail_cut_streams();
    void end_fault();

    scenario scenario_;
    demand_source source_;
    st::model_id model_;
    st::preset other_preset_;
    time_point now_ = at(0.0);
    std::priority_queue<event> queue_;
    std::uint64_t order_ = 0;
    std::uint64_t version_ = 0;
    bool zone_cut_ = false;
    bool fault_noticed_ = false;
    std::vector<engine_state> engine_states_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::unordered_map<std::uint64_t, std::uint32_t> engine_of_;
    std::unordered_map<std::uint64_t, std::uint32_t> length_of_;
    std::vector<decider> deciders_;
    std::deque<run_state> runs_;
    std::vector<std::uint32_t> ended_;
    measures result_;
};

} // namespace bench

#include "fleet_run_faults.hpp"
#include "fleet_run_setup.hpp"
