#include <plumdale/coordination/projected_memory_policy.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;

/// Keys of customer, model and kind for which a shard keeps length statistics: 4 MB when full.
constexpr std::size_t max_length_keys = 8192;
/// Output tokens after which a stream's forecast is recomputed.
constexpr std::uint32_t tokens_per_update = 16;
/// Longest output that is charged to a customer's share in advance.
constexpr double max_charged_tokens = 16'384.0;
/// Engines compared for one request; the least full is taken. If all were compared, every entry VM
/// would send to the same engine until the next report.
constexpr std::size_t sampled_engines = 3;
/// Engines checked when no sampled one has capacity; bounds the search of a full zone per request.
constexpr std::size_t max_engines_searched = 24;
/// Fraction of an engine's memory that a warm prefix outweighs.
constexpr double warm_bonus = 0.1;
/// Fractions of the limit for a customer that is over its fair share. The rest is left to other
/// customers: their drafts precede its questions, and its questions precede its drafts.
constexpr double over_share_draft_fraction = 0.85;
constexpr double over_share_question_fraction = 0.95;
/// Longest wait of a question for capacity: the engine needs most of the time to its first token.
constexpr state::duration max_question_wait = std::chrono::milliseconds{250};
constexpr state::duration refresh_interval = std::chrono::milliseconds{100};
constexpr state::duration shares_interval = std::chrono::milliseconds{500};
/// Mean time after which a waiting request is evaluated again; jittered, so that entry VMs don't
/// all see the same free capacity at the same moment.
constexpr state::duration reevaluation_interval = std::chrono::milliseconds{100};
/// Time for which the limit counts as binding after a draft found no capacity.
constexpr state::duration binding_time = std::chrono::seconds{5};
/// Time in which a newly discovered engine is ramped up to its full batch.
constexpr state::duration slow_start_time = std::chrono::seconds{10};
/// Consecutive failures after which an engine gets one stream at a time.
constexpr std::uint32_t failure_threshold = 3;

bool has_failed(dispatch_attempt const& attempt, state::upstream_id id)
{
    return std::find(attempt.failed.begin(), attempt.failed.end(), id) != attempt.failed.end();
}

std::uint32_t live_entry_vms(fleet_snapshot const& fleet)
{
    auto const others = std::count_if(fleet.members.begin(), fleet.members.end(),
                                      [](state::member const& each)
                                      {
                                          return each.health == state::member_health::alive ||
                                                 each.health == state::member_health::suspect;
                                      });
    return static_cast<std::uint32_t>(others) + 1;
}

} // namespace

projected_memory_policy::projected_memory_policy(entry_vm_placement placement, subset_limits limits,
                                                 std::uint64_t seed)
    : placement_{placement}, random_{static_cast<std::minstd_rand::result_type>(seed % 0x7ffffffeU +
                                                                                1)},
      lengths_{max_length_keys}, directory_{placement.node, placement.zone, limits}
{
}

dispatch_counts const& projected_memory_policy::counts() const noexcept
{
    return counts_;
}

double projected_memory_policy::limit_factor(state::model_id model) const noexcept
{
    auto const found = models_.find(model);
    return found == models_.end() ? 1.0 : found->second.limit.factor();
}

// -- learning -------------------------------------------------------------------------------------

void projected_memory_policy::refresh(model_state& model, fleet_snapshot const& fleet,
                                      state::model_id id, zone_split const& engines,
                                      state::time_point now)
{
    if (now >= next_shares_)
    {
        next_shares_ = now + shares_interval;
        entry_vms_ = live_entry_vms(fleet);
        if (fleet.version == 0 || fleet.version != shares_version_)
        {
            shares_version_ = fleet.version;
            shares_.configure(fleet.customers, entry_vms_ * placement_.shards);
        }
        shares_.refresh(now);
    }
    if (now < model.next_refresh)
    {
        return;
    }
    model.next_refresh = now + refresh_interval;
    max_batch_ = fleet.preset.max_batch;
    model.limit.configure(fleet.preset);
    double const seen = static_cast<double>(engines.all.size());
    double const total = static_cast<double>(fleet.upstreams_of(id).size());
    double const total_shards = static_cast<double>(entry_vms_ * placement_.shards);
    double const sharing = std::max(1.0, total_shards * seen / total);
    model.book.refresh(engines.all, sharing, fleet.preset.horizon, now);
    model.limit.learn(new_preemptions(model, engines.all), model.answers * sharing, seen,
                      now < model.binding_until);
    model.answers = 0;
}

double projected_memory_policy::new_preemptions(model_state& model,
                                                std::span<upstream_view const* const> engines)
{
    std::uint64_t sum = 0;
    for (upstream_view const* const each : engines)
    {
        upstream_gauge const* const gauge = each->gauge.get();
        std::uint64_t const now = gauge->preemptions.load(relaxed);
        auto const [known, is_new] = model.preemptions.try_emplace(gauge, now);
        if (!is_new && now > known->second)
        {
            sum += now - known->second;
        }
        known->second = now;
    }
    return static_cast<double>(sum);
}

// -- deciding -------------------------------------------------------------------------------------

dispatch_decision projected_memory_policy::decide(dispatch_attempt const& attempt,
                                                  fleet_snapshot const& fleet,
                                                  state::time_point now)
{
    if (now >= attempt.request.deadline)
    {
        return refuse(state::error_kind::deadline_not_run, fleet.preset.retry_after);
    }
    zone_split const upstreams = directory_.select(fleet, attempt.request.model);
    if (upstreams.all.empty())
    {
        return refuse(state::error_kind::no_upstream, fleet.preset.retry_after);
    }
    if (attempt.previous_starts == 0 && attempt.received == now)
    {
        retries_.first_attempt(fleet.preset.retry_percent);
    }
    if (attempt.previous_starts > 0 && !retries_.available())
    {
        ++counts_.refused_retry;
        return refuse(state::error_kind::overloaded, fleet.preset.retry_after);
    }
    dispatch_decision const decision =
        attempt.request.kind == state::work_kind::call
            ? decide_call(attempt, upstreams, fleet.preset.retry_after)
            : decide_generation(attempt, fleet, upstreams, now);
    if (attempt.previous_starts > 0 && decision.verdict == dispatch_verdict::dispatch)
    {
        retries_.take();
    }
    return decision;
}

dispatch_decision projected_memory_policy::decide_generation(dispatch_attempt const& attempt,
                                                             fleet_snapshot const& fleet,
                                                             zone_split const& engines,
                                                             state::time_point now)
{
    state::request const& request = attempt.request;
    model_state& model = models_.try_emplace(request.model, lengths_).first->second;
    refresh(model, fleet, request.model, engines, now);

    auto const cell = lengths_.open({request.customer, request.model, request.kind});
    engine_search found{attempt, model,
                        model.book.forecast(cell, 0, request.prompt_tokens, request.max_tokens)};
    if (attempt.previous_starts == 0 && attempt.received == now)
    {
        shares_.requested(request.customer, request.kind,
                          request.prompt_tokens +
                              lengths_.expected_remaining(cell, 0, max_charged_tokens));
    }
    lengths_.close(cell);

    share_status const status = shares_.status(request.customer, request.kind);
    if (status == share_status::over_limit)
    {
        ++counts_.refused_limit;
        return refuse(state::error_kind::over_customer_limit, fleet.preset.retry_after);
    }
    if (status == share_status::over_share)
    {
        bool const draft = request.kind == state::work_kind::draft;
        found.limit_fraction = draft ? over_share_draft_fraction : over_share_question_fraction;
    }
    found.warm = hints_.find(request.prefix);
    scan(found, engines.own_zone, now);
    if (found.best == nullptr)
    {
        scan(found, engines.other_zones, now);
    }
    if (found.best == nullptr)
    {
        if (request.kind == state::work_kind::draft)
        {
            model.binding_until = now + binding_time;
        }
        return wait_or_refuse(found, fleet.preset, now);
    }
    count_route(found, engines);
    dispatch_decision decision;
    decision.verdict = dispatch_verdict::dispatch;
    decision.upstream = found.best;
    return decision;
}

void projected_memory_policy::scan(engine_search& found,
                                   std::span<upstream_view const* const> engines,
                                   state::time_point now)
{
    if (engines.empty())
    {
        return;
    }
    if (found.warm)
    {
        auto const warm = std::find_if(engines.begin(), engines.end(),
                                       [&found](upstream_view const* each)
                                       { return each->info.id == found.warm; });
        if (warm != engines.end())
        {
            evaluate(found, **warm, now);
        }
    }
    std::size_t const first = random_() % engines.size();
    std::size_t const stride = engines.size() > 2 ? 1 + random_() % (engines.size() - 1) : 1;
    std::size_t at = first;
    for (std::size_t i = 0; i < std::min(sampled_engines, engines.size()); ++i)
    {
        evaluate(found, *engines[at], now);
        at = (at + stride) % engines.size();
    }
    // If no sampled engine has capacity, any other one that has is taken.
    std::size_t const most = std::min(max_engines_searched, engines.size());
    for (std::size_t i = 0; i < most && found.best == nullptr; ++i)
    {
        evaluate(found, *engines[(first + i) % engines.size()], now);
    }
}

bool projected_memory_policy::usable(upstream_gauge const& gauge, state::time_point now) const
{
    std::uint32_t const own = gauge.in_flight.load(relaxed);
    if (gauge.consecutive_failures.load(relaxed) >= failure_threshold)
    {
        return own == 0;
    }
    auto const age = now.time_since_epoch().count() - gauge.first_seen.load(relaxed);
    auto const ramp = slow_start_time.count();
    if (age < ramp)
    {
        // An engine that was restarted empty looks best to every entry VM at once; each uses its
        // share of a batch that grows over the slow start.
        double const part =
            static_cast<double>(std::max<std::int64_t>(0, age)) / static_cast<double>(ramp);
        return own < 1.0 + part * max_batch_ / entry_vms_;
    }
    return true;
}

void projected_memory_policy::evaluate(engine_search& found, upstream_view const& view,
                                       state::time_point now) const
{
    upstream_gauge const& gauge = *view.gauge;
    if (has_failed(found.attempt, view.info.id) || !usable(gauge, now))
    {
        return;
    }
    engine_forecast const engine = found.model.book.forecast(gauge, now);
    capacity_status const capacity = found.model.limit.check(
        engine, found.demand, found.attempt.request.kind, found.limit_fraction);
    found.batch_full |= capacity == capacity_status::batch_full;
    if (capacity != capacity_status::free)
    {
        return;
    }
    bool const warm = view.info.id == found.warm;
    double const fill =
        found.model.limit.projected_fullness(engine, found.demand) - (warm ? warm_bonus : 0.0);
    if (found.best == nullptr || fill < found.best_fill)
    {
        found.best = &view;
        found.best_fill = fill;
        found.best_is_warm = warm;
    }
}

void projected_memory_policy::count_route(engine_search const& found, zone_split const& engines)
{
    counts_.warm_prefix += found.best_is_warm ? 1 : 0;
    if (found.best->info.zone == placement_.zone)
    {
        ++counts_.own_zone;
    }
    else if (engines.own_zone.empty())
    {
        ++counts_.spilled_no_upstream;
    }
    else
    {
        ++counts_.spilled_no_capacity;
    }
}

dispatch_decision projected_memory_policy::decide_call(dispatch_attempt const& attempt,
                                                       zone_split const& services,
                                                       state::duration mean_delay)
{
    dispatch_decision decision;
    std::uint32_t fewest = UINT32_MAX;
    for (auto const& zone : {services.own_zone, services.other_zones})
    {
        for (upstream_view const* const each : zone)
        {
            std::uint32_t const own = each->gauge->in_flight.load(relaxed);
            bool const broken =
                each->gauge->consecutive_failures.load(relaxed) >= failure_threshold && own > 0;
            if (own < fewest && !broken && !has_failed(attempt, each->info.id))
            {
                fewest = own;
                decision.upstream = each;
            }
        }
        if (decision.upstream != nullptr)
        {
            decision.verdict = dispatch_verdict::dispatch;
            return decision;
        }
    }
    return refuse(state::error_kind::no_upstream, mean_delay);
}

dispatch_decision projected_memory_policy::wait_or_refuse(engine_search const& found,
                                                          state::preset const& preset,
                                                          state::time_point now)
{
    bool const draft = found.attempt.request.kind == state::work_kind::draft;
    state::time_point const until =
        std::min(found.attempt.received + (draft ? preset.draft_wait : max_question_wait),
                 found.attempt.request.deadline);
    auto const pause =
        std::chrono::duration_cast<state::duration>(reevaluation_interval * jitter_factor());
    if (now + pause <= until)
    {
        dispatch_decision decision;
        decision.verdict = dispatch_verdict::wait;
        decision.reevaluate_at = now + pause;
        return decision;
    }
    bool const over_share = found.limit_fraction < 1.0;
    ++(over_share         ? counts_.refused_share
       : found.batch_full ? counts_.refused_batch
                          : counts_.refused_memory);
    return refuse(state::error_kind::overloaded, preset.retry_after);
}

double projected_memory_policy::jitter_factor()
{
    return std::uniform_real_distribution<double>{0.5, 1.5}(random_);
}

dispatch_decision projected_memory_policy::refuse(state::error_kind kind,
                                                  state::duration mean_delay)
{
    dispatch_decision decision;
    decision.verdict = dispatch_verdict::refuse;
    decision.kind = kind;
    // Jittered, so that requests that were refused together are not retried together.
    decision.retry_after =
        std::chrono::duration_cast<state::duration>(mean_delay * jitter_factor());
    return decision;
}

// -- streams --------------------------------------------------------------------------------------

void projected_memory_policy::started(state::stream_handle handle, state::request const& request,
                                      upstream_view const& upstream, state::time_point now)
{
    stream each;
    each.gauge = upstream.gauge;
    each.customer = request.customer;
    each.gauge->in_flight.fetch_add(1, relaxed);
    each.gauge->dispatched.fetch_add(1, relaxed);
    if (request.kind != state::work_kind::call)
    {
        each.model = &models_.try_emplace(request.model, lengths_).first->second;
        each.cell = lengths_.open({request.customer, request.model, request.kind});
        lengths_.advance(each.cell, 0, 0);
        each.draft = request.kind == state::work_kind::draft;
        each.prompt = request.prompt_tokens;
        each.max_tokens = request.max_tokens;
        each.expected = each.prompt + lengths_.expected_remaining(each.cell, 0, max_charged_tokens);
        shares_.granted(each.customer, each.expected);
        hints_.stored(request.prefix, upstream.info.id);
        update_forecast(each, now);
    }
    streams_.insert_or_assign(handle, std::move(each));
}

void projected_memory_policy::update_forecast(stream& each, state::time_point now)
{
    if (each.tokens > each.counted_tokens)
    {
        lengths_.advance(each.cell, each.counted_tokens, each.tokens);
        each.model->book.count_tokens(each.tokens - each.counted_tokens);
        each.counted_tokens = each.tokens;
    }
    std::uint32_t const held = each.prompt + each.tokens;
    load_forecast forecast =
        each.model->book.forecast(each.cell, each.tokens, held, each.max_tokens);
    if (!each.draft)
    {
        // The next question takes the place of one that ends. Otherwise drafts are given the memory
        // of questions, and in a burst of questions all engines overflowed.
        forecast.mean.fill(held);
        forecast.variance.fill(0.0);
    }
    stream_load const load = load_forecaster::rounded(held, forecast);
    load_forecaster::update_gauge(*each.gauge, each.load, load, now);
    each.load = load;
}

void projected_memory_policy::token(state::stream_handle handle, std::uint32_t index,
                                    state::time_point now)
{
    auto const found = streams_.find(handle);
    if (found == streams_.end())
    {
        return;
    }
    stream& each = found->second;
    if (each.tokens == 0)
    {
        each.gauge->consecutive_failures.store(0, relaxed);
    }
    each.tokens = index + 1;
    if (each.model != nullptr && each.tokens % tokens_per_update == 0)
    {
        update_forecast(each, now);
    }
}

void projected_memory_policy::ended(state::stream_handle handle, std::uint32_t tokens,
                                    stream_outcome outcome, state::time_point now)
{
    auto const found = streams_.find(handle);
    if (found == streams_.end())
    {
        return;
    }
    stream& each = found->second;
    each.gauge->in_flight.fetch_sub(1, relaxed);
    if (outcome == stream_outcome::failed)
    {
        each.gauge->consecutive_failures.fetch_add(1, relaxed);
    }
    if (each.model != nullptr)
    {
        lengths_.advance(each.cell, each.counted_tokens, tokens);
        if (outcome == stream_outcome::finished && tokens > 0)
        {
            lengths_.finish(each.cell, tokens);
            ++each.model->answers;
        }
        lengths_.close(each.cell);
        load_forecaster::update_gauge(*each.gauge, each.load, {}, now);
        shares_.ended(each.customer, each.expected, each.prompt + tokens);
    }
    streams_.erase(found);
}

std::function<std::unique_ptr<dispatch_policy>(std::uint32_t)>
projected_memory_factory(entry_vm_placement placement, std::uint64_t seed)
{
    return [placement, seed](std::uint32_t shard) -> std::unique_ptr<dispatch_policy>
    {
        return std::make_unique<projected_memory_policy>(placement, subset_limits{},
                                                         state::mix(seed, shard));
    };
}

} // namespace plumdale::coordination
