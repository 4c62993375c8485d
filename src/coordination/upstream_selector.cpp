#include <plumdale/coordination/upstream_selector.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Plain upstreams queue calls beyond their slots; one listed without slots counts as having one.
double slots_of(state::service_member const& member)
{
    return std::max(1U, member.slots);
}

// Calls end one by one while others grow, and don't reach their full size at the same moment: half
// of what they grow in so many steps counts.
double projected_tokens(member_load const& load, double steps)
{
    double const left = load.tokens_at_end > load.tokens ? load.tokens_at_end - load.tokens : 0U;
    return load.tokens + std::min(left, load.calls * steps) / 2.0;
}

} // namespace

upstream_selector::upstream_selector(service_directory const& directory, load_ledger const& ledger,
                                     outlier_detector const& health, send_gate const& gate,
                                     upstream_subset const& subset, selection_hints const& hints,
                                     std::string_view own_zone, std::minstd_rand& random,
                                     engine_pace pace)
    : directory_{directory}, ledger_{ledger}, health_{health}, gate_{gate}, subset_{subset},
      hints_{hints}, own_zone_{own_zone}, random_{random}, pace_{pace}
{
}

double upstream_selector::memory_share(state::service const& service,
                                       call_demand const& demand) noexcept
{
    bool const has_memory = service.engine && service.engine->memory_tokens != 0;
    double const tokens = demand.prompt_tokens + demand.output_tokens / 2.0;
    return has_memory ? tokens / service.engine->memory_tokens : 0.0;
}

double upstream_selector::fullness(directory_entry const& entry, state::service const& service,
                                   call_demand const& demand) const
{
    member_load const load = ledger_.total(state::key_of(entry.info));
    double const calls = (load.calls + 1.0) / slots_of(entry.info);
    if (!service.engine || service.engine->memory_tokens == 0)
    {
        return calls;
    }
    return std::max(calls,
                    projected_tokens(load, steps_of(demand)) / service.engine->memory_tokens +
                        memory_share(service, demand));
}

double upstream_selector::steps_of(call_demand const& demand) const noexcept
{
    return demand.output_tokens + demand.prompt_tokens / pace_.prompt_tokens_per_step();
}

// A call that ends soon leaves others no time to outgrow their hints: each grows by a token in a
// step.
double upstream_selector::growth_reserve(directory_entry const& entry,
                                         state::service const& service,
                                         call_demand const& demand) const
{
    if (!service.engine || service.engine->memory_tokens == 0)
    {
        return 0.0;
    }
    double const calls = ledger_.total(state::key_of(entry.info)).calls;
    return std::min(max_growth_reserve, calls * steps_of(demand) / service.engine->memory_tokens);
}

state::duration upstream_selector::time_to_first_event(directory_entry const& entry,
                                                       call_demand const& demand) const
{
    member_load const load = ledger_.total(state::key_of(entry.info));
    double const tokens = load.pending_prefill_tokens + demand.prompt_tokens;
    return pace_.reading_time(factors_of(entry).prefill * tokens);
}

state::duration upstream_selector::pending_reading(directory_entry const& entry) const
{
    member_load const load = ledger_.total(state::key_of(entry.info));
    return pace_.reading_time(factors_of(entry).prefill * load.pending_prefill_tokens);
}

speed_factors upstream_selector::factors_of(directory_entry const& entry) const
{
    return hints_.speeds == nullptr ? speed_factors{}
                                    : hints_.speeds->factors(state::key_of(entry.info));
}

// A gap is the time of one event's tokens while prompts are read beside them and the machine
// pauses.
double upstream_selector::gap_risk(directory_entry const& entry, state::service const& service,
                                   call_demand const& demand) const
{
    speed_factors const factors = factors_of(entry);
    if (!factors.is_uneven || !service.engine || demand.max_gap == state::duration::zero())
    {
        return 0.0;
    }
    std::uint32_t const calls = ledger_.total(state::key_of(entry.info)).calls + 1;
    double const token = factors.pace * pace_.token_ms(calls, true);
    double const longest_gap_ms = longest_step_ratio * service.engine->tokens_per_event * token;
    double const max_gap_ms = std::chrono::duration<double, std::milli>(demand.max_gap).count();
    double const excess = longest_gap_ms / max_gap_ms - 1.0;
    double const length = std::min(1.0, demand.output_tokens / risky_tokens);
    return length * std::clamp(excess / certain_excess, 0.0, 1.0);
}

std::optional<selected_upstream> upstream_selector::choose(state::service const& service,
                                                           call_demand const& demand,
                                                           selection_options const& options,
                                                           state::time_point now) const
{
    bool const is_thorough = options.candidates > selection_options::sampled_candidates;
    if (subset_.divides(service.name) && !is_thorough)
    {
        std::vector<state::member_key> const part =
            subset_.own_part(service.name, options.preferred_zone);
        auto const best = choose_sampled(part, service, demand, options, now);
        // Where the subset has only ejected upstreams, as after a cut, others may be reachable.
        if (best && health_.penalty(best->member, now) < 1.0 && !is_doubtful(best->member, now))
        {
            return best;
        }
    }
    return choose_sampled(directory_.members_of(service.name), service, demand, options, now);
}

std::optional<selected_upstream>
upstream_selector::choose_sampled(std::span<state::member_key const> members,
                                  state::service const& service, call_demand const& demand,
                                  selection_options const& options, state::time_point now) const
{
    std::uniform_real_distribution<double> draw{0.0, 1.0};
    double const probability = sampling_probability(members.size(), options.candidates);
    auto best = best_of(members, service, demand, options, now,
                        [&] { return probability >= 1.0 || draw(random_) < probability; });
    // If no sampled upstream may take work, all are compared, unless only a few were requested.
    bool const are_few = options.candidates < selection_options::sampled_candidates;
    if (best && is_doubtful(best->member, now))
    {
        best.reset();
    }
    bool const is_final = best || are_few;
    return is_final ? best : best_of(members, service, demand, options, now, [] { return true; });
}

double upstream_selector::sampling_probability(std::size_t members,
                                               std::size_t candidates) const noexcept
{
    bool const all =
        candidates >= selection_options::sampled_candidates && members <= 2 * candidates;
    return all ? 1.0 : static_cast<double>(candidates) / static_cast<double>(members);
}

bool upstream_selector::is_doubtful(state::member_key member, state::time_point now) const
{
    if (hints_.suspicions != nullptr && hints_.suspicions->is_suspected(member, now))
    {
        return true;
    }
    directory_entry const* const entry =
        hints_.zones == nullptr ? nullptr : directory_.find(member);
    return entry != nullptr &&
           hints_.zones->is_cut(state::id_from_name<state::zone_id>(entry->info.zone), now);
}

// The objective is the route's: the same wait is little to a caller who expects seconds.
double upstream_selector::wait_cost(state::duration time_to_first_event,
                                    call_demand const& demand) noexcept
{
    bool const has_objective = demand.objective > state::duration::zero();
    state::duration const objective = has_objective ? demand.objective : default_objective;
    return missed_objective_penalty * std::chrono::duration<double>(time_to_first_event).count() /
           std::chrono::duration<double>(objective).count();
}

double upstream_selector::cost_of(directory_entry const& entry, selected_upstream const& candidate,
                                  call_demand const& demand, selection_options const& options,
                                  state::time_point now) const
{
    bool const is_near = entry.info.zone == options.preferred_zone;
    return candidate.fullness +
           preemption_penalty * std::max(0.0, candidate.fullness - preemption_threshold) +
           wait_cost(candidate.time_to_first_event, demand) +
           (is_near ? 0.0 : options.zone_penalty) +
           ejection_penalty * health_.penalty(candidate.member, now) +
           (is_doubtful(candidate.member, now) ? suspicion_penalty : 0.0);
}

template <class Sampled>
std::optional<selected_upstream>
upstream_selector::best_of(std::span<state::member_key const> members,
                           state::service const& service, call_demand const& demand,
                           selection_options const& options, state::time_point now,
                           Sampled const& is_sampled) const
{
    std::optional<selected_upstream> best;
    double best_score = 0.0;
    std::size_t compared = 0;
    std::uniform_real_distribution<double> noise{0.0, max_score_noise};
    for (state::member_key const key : members)
    {
        // Sampling precedes the lookup, since only a few of thousands of upstreams are compared.
        directory_entry const* const entry = is_sampled() ? directory_.find(key) : nullptr;
        bool const fits = entry != nullptr && gate_.may_send(*entry, service, now) &&
                          std::find(options.excluded.begin(), options.excluded.end(), key) ==
                              options.excluded.end();
        if (!fits)
        {
            continue;
        }
        ++compared;
        selected_upstream const candidate{
            key, fullness(*entry, service, demand), time_to_first_event(*entry, demand),
            pending_reading(*entry), growth_reserve(*entry, service, demand)};
        double const gap_cost = options.accepts_long_gaps
                                    ? 0.0
                                    : missed_objective_penalty * gap_risk(*entry, service, demand);
        double const score =
            cost_of(*entry, candidate, demand, options, now) + gap_cost + noise(random_);
        if (!best || score < best_score)
        {
            best = candidate;
            best_score = score;
        }
    }
    if (best)
    {
        best->candidates_examined = compared;
    }
    return best;
}

bool upstream_selector::may_hold_copy(directory_entry const& entry, state::service const& service,
                                      selection_options const& options, state::time_point now) const
{
    state::member_key const key = state::key_of(entry.info);
    bool const is_excluded =
        std::find(options.excluded.begin(), options.excluded.end(), key) != options.excluded.end();
    return !is_excluded && gate_.may_send(entry, service, now) && health_.penalty(key, now) < 1.0 &&
           !is_doubtful(key, now);
}

// Of a divided service this VM receives the load of its own part alone: all others look empty.
std::vector<state::member_key>
upstream_selector::members_for_copies(state::service const& service) const
{
    if (subset_.divides(service.name))
    {
        return subset_.own_part(service.name, own_zone_);
    }
    std::span<state::member_key const> const all = directory_.members_of(service.name);
    return {all.begin(), all.end()};
}

copy_choice upstream_selector::choose_for_copy(state::service const& service,
                                               copy_request const& copy,
                                               selection_options const& options,
                                               state::time_point now) const
{
    copy_choice choice;
    if (!service.engine)
    {
        return choice;
    }
    std::vector<state::member_key> const part = members_for_copies(service);
    double const probability =
        sampling_probability(part.size(), selection_options::thorough_candidates);
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    destination_draw draw;
    for (state::member_key const key : part)
    {
        bool const is_sampled = probability >= 1.0 || uniform(random_) < probability;
        directory_entry const* const entry = is_sampled ? directory_.find(key) : nullptr;
        if (entry == nullptr || !may_hold_copy(*entry, service, options, now))
        {
            continue;
        }
        ++choice.reachable;
        member_load const load = ledger_.total(key);
        copy_request request = copy;
        request.to_other_zone = entry->info.zone != options.preferred_zone;
        draw.add(
            key, request.to_other_zone,
            copy_rooms(request, {load.tokens, load.calls, load.tokens_at_end}, *service.engine),
            uniform(random_));
    }
    choice.member = draw.drawn();
    return choice;
}

double upstream_selector::fullness_at_ends(directory_entry const& entry,
                                           state::service const& service) const
{
    member_load const load = ledger_.total(state::key_of(entry.info));
    double const calls = (load.calls + 1.0) / slots_of(entry.info);
    double const tokens = projected_tokens(load, load.tokens_at_end);
    bool const has_memory = service.engine && service.engine->memory_tokens != 0;
    return has_memory ? std::max(calls, tokens / service.engine->memory_tokens) : calls;
}

double upstream_selector::mean_fullness(state::service const& service, state::time_point now) const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (state::member_key const key : directory_.members_of(service.name))
    {
        directory_entry const* const entry = directory_.find(key);
        bool const is_counted =
            entry != nullptr && directory_.may_take_work(*entry, now) && !is_doubtful(key, now);
        if (is_counted)
        {
            sum += fullness_at_ends(*entry, service);
            ++count;
        }
    }
    return count == 0 ? 1.0 : sum / static_cast<double>(count);
}

} // namespace plumdale::coordination
