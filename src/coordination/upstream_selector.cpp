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

state::duration reading_time(double prompt_tokens)
{
    double const ms = prompt_tokens / upstream_selector::prompt_tokens_per_ms;
    return std::chrono::duration_cast<state::duration>(
        std::chrono::duration<double, std::milli>{ms});
}

} // namespace

upstream_selector::upstream_selector(service_directory const& directory, load_ledger const& ledger,
                                     outlier_detector const& health, send_gate const& gate,
                                     upstream_subset const& subset, selection_hints const& hints,
                                     std::string_view own_zone, std::minstd_rand& random)
    : directory_{directory}, ledger_{ledger}, health_{health}, gate_{gate}, subset_{subset},
      hints_{hints}, own_zone_{own_zone}, random_{random}
{
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
    // Generations end one by one while others grow and don't reach their full size at the same
    // moment, so the tokens held now and those held at the ends have equal weight.
    double const held = (load.tokens + load.tokens_at_end) / 2.0;
    double const demand_tokens = demand.prompt_tokens + demand.output_tokens / 2.0;
    return std::max(calls, (held + demand_tokens) / service.engine->memory_tokens);
}

state::duration upstream_selector::time_to_first_event(directory_entry const& entry,
                                                       call_demand const& demand) const
{
    member_load const load = ledger_.total(state::key_of(entry.info));
    return reading_time(load.pending_prefill_tokens + demand.prompt_tokens);
}

state::duration upstream_selector::min_time_to_first_event(call_demand const& demand)
{
    return reading_time(demand.prompt_tokens);
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

double upstream_selector::cost_of(directory_entry const& entry, selected_upstream const& candidate,
                                  selection_options const& options, state::time_point now) const
{
    double const wait = std::chrono::duration<double>(candidate.time_to_first_event).count();
    bool const is_near = entry.info.zone == options.preferred_zone;
    return candidate.fullness +
           preemption_penalty * std::max(0.0, candidate.fullness - preemption_threshold) +
           wait_penalty_per_second * wait + (is_near ? 0.0 : options.zone_penalty) +
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
        selected_upstream const candidate{key, fullness(*entry, service, demand),
                                          time_to_first_event(*entry, demand)};
        double const score = cost_of(*entry, candidate, options, now) + noise(random_);
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
            sum += fullness(*entry, service, {});
            ++count;
        }
    }
    return count == 0 ? 1.0 : sum / static_cast<double>(count);
}

} // namespace plumdale::coordination
