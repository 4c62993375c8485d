#pragma once

#include <plumdale/coordination/copy_admission.hpp>
#include <plumdale/coordination/engine_pace.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/outlier_detector.hpp>
#include <plumdale/coordination/selection_hints.hpp>
#include <plumdale/coordination/send_gate.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/upstream_subset.hpp>
#include <plumdale/state/routing_configuration.hpp>

#include <optional>
#include <random>
#include <span>
#include <string_view>

/// \file
/// \brief Chooses the upstream for a call.

namespace plumdale::coordination
{

/// \brief What a call will need at its upstream.
struct call_demand
{
    /// \brief Tokens of the prompt; zero for plain calls.
    std::uint32_t prompt_tokens = 0;
    /// \brief Tokens that it is expected to generate.
    std::uint32_t output_tokens = 0;
    /// \brief Longest gap between events with which it is on time; zero if any is.
    state::duration max_gap{};
    /// \brief Time to its first event with which it is on time; zero if any is.
    state::duration objective{};
};

/// \brief A selected upstream and its projected load.
struct selected_upstream
{
    state::member_key member;
    /// \brief Projected share of memory, or of the batch or slots where that is greater, with this
    /// call.
    double fullness = 0.0;
    /// \brief Time until its first event, estimated from the prompts to be prefilled before.
    state::duration time_to_first_event{};
    /// \brief The part of it that others' prompts take.
    state::duration reading_before{};
    /// \brief Share of memory that others may need beyond `fullness` while this call runs.
    double growth_reserve = 0.0;
    /// \brief Upstreams that were compared.
    std::size_t candidates_examined = 0;
};

/// \brief The destination that was found for a copy.
struct copy_choice
{
    /// \brief None if the copy fits nowhere.
    std::optional<state::member_key> member;
    /// \brief Upstreams that were compared and may take work, with or without room.
    std::size_t reachable = 0;
};

/// \brief Limits and weights for the choice of an upstream.
struct selection_options
{
    /// \brief Fullness added to an upstream in another zone, about one run of 24. Traffic between
    /// zones is paid for, and a copy of the call's memory takes twice as long.
    static constexpr double other_zone_penalty = 0.2;
    /// \brief Of more than twice this many upstreams, about this many are sampled for each choice.
    /// When every entry VM compared all upstreams, ten calls met within 0.1 s at one that had just
    /// joined. Sampling spreads them, and eight samples suffice to find a nearly best upstream.
    static constexpr std::size_t sampled_candidates = 8;
    /// \brief Samples for a call that would otherwise wait or be refused: a long prompt needs an
    /// upstream that prefills almost nothing else, and under high load eight samples contain none.
    static constexpr std::size_t thorough_candidates = 64;

    std::string_view preferred_zone{};
    std::span<state::member_key const> excluded{};
    /// \brief Fullness added to an upstream that is not in `preferred_zone`.
    double zone_penalty = other_zone_penalty;
    /// \brief Approximate number of upstreams that are compared.
    std::size_t candidates = sampled_candidates;
    /// \brief Gaps that are too long don't count: the call would be refused otherwise.
    bool accepts_long_gaps = false;
};

/// \brief Selects the upstream that will be least full; prefers its own zone and healthy ones.
///
/// Example: `upstream_selector selector{directory, ledger, health, gate, subset, hints,
/// "heredia-a", random};`
class upstream_selector
{
public:
    upstream_selector(service_directory const& directory, load_ledger const& ledger,
                      outlier_detector const& health, send_gate const& gate,
                      upstream_subset const& subset, selection_hints const& hints,
                      std::string_view own_zone, std::minstd_rand& random, engine_pace pace = {});

    /// \brief Returns the best upstream of a service; none when no upstream may take work, or none
    /// of those that were sampled.
    [[nodiscard]] std::optional<selected_upstream> choose(state::service const& service,
                                                          call_demand const& demand,
                                                          selection_options const& options,
                                                          state::time_point now) const;
    /// \brief Returns a destination where a copy fits, drawn by room, of the preferred zone if one
    /// there has room.
    [[nodiscard]] copy_choice choose_for_copy(state::service const& service,
                                              copy_request const& copy,
                                              selection_options const& options,
                                              state::time_point now) const;
    /// \brief Returns how full an upstream would be with this call.
    [[nodiscard]] double fullness(directory_entry const& entry, state::service const& service,
                                  call_demand const& demand) const;
    /// \brief Returns the share of an upstream's memory that a call takes by itself; zero without
    /// such a limit.
    [[nodiscard]] static double memory_share(state::service const& service,
                                             call_demand const& demand) noexcept;
    /// \brief Returns the share of memory that others may need beyond their hints in a call's run.
    [[nodiscard]] double growth_reserve(directory_entry const& entry, state::service const& service,
                                        call_demand const& demand) const;
    /// \brief Returns how long an upstream takes to this call's first event.
    [[nodiscard]] state::duration time_to_first_event(directory_entry const& entry,
                                                      call_demand const& demand) const;
    /// \brief Returns the probability with which a gap between this call's events is too long at an
    /// upstream; zero where all upstreams are equally fast.
    [[nodiscard]] double gap_risk(directory_entry const& entry, state::service const& service,
                                  call_demand const& demand) const;
    /// \brief Returns how long the prompts take that an upstream has to read by now.
    [[nodiscard]] state::duration pending_reading(directory_entry const& entry) const;
    [[nodiscard]] engine_pace const& pace() const noexcept
    {
        return pace_;
    }
    /// \brief Returns the mean projected share of memory over a service's upstreams.
    [[nodiscard]] double mean_fullness(state::service const& service, state::time_point now) const;
    /// \brief Returns the probability with which each upstream of a service is sampled.
    [[nodiscard]] double sampling_probability(std::size_t members,
                                              std::size_t candidates) const noexcept;
    /// \brief Returns whether an upstream is suspected to be gone or its zone to be cut off.
    [[nodiscard]] bool is_doubtful(state::member_key member, state::time_point now) const;
    [[nodiscard]] std::string_view own_zone() const noexcept
    {
        return own_zone_;
    }

    /// \brief Largest random part of a score; keeps entry VMs with equal data from choosing alike.
    static constexpr double max_score_noise = 0.03;
    /// \brief Share of memory that covers answers longer than their hints, and calls that peers
    /// send at the same moment; without it the newest are preempted in the middle of their streams.
    static constexpr double max_growth_reserve = 0.1;
    /// \brief Pauses of its machine make a step take up to this many times as long.
    static constexpr double longest_step_ratio = 2.5;
    /// \brief Gaps that exceed the accepted one by this share are certain to occur in a long
    /// answer.
    static constexpr double certain_excess = 0.25;
    /// \brief Tokens of an answer in which a gap occurs that the upstream's pace allows.
    static constexpr double risky_tokens = 400.0;
    /// \brief Fullness added for a promise that is missed: a first event as late as the route's
    /// objective, or a gap between events that is certain to be longer than the accepted one.
    static constexpr double missed_objective_penalty = 1.0;
    /// \brief Stands for the objective of a route that publishes none.
    static constexpr state::duration default_objective = std::chrono::seconds{1};
    /// \brief Share of memory above which running generations are soon preempted.
    static constexpr double preemption_threshold = 0.85;
    static constexpr double preemption_penalty = 4.0;
    /// \brief Added in full for an upstream that is ejected; higher than any fullness.
    static constexpr double ejection_penalty = 10.0;
    /// \brief Added for an upstream that is likely gone; also crowded ones are preferred to it.
    static constexpr double suspicion_penalty = 100.0;

private:
    /// \brief Returns the steps that an upstream makes in a call's run.
    [[nodiscard]] double steps_of(call_demand const& demand) const noexcept;
    /// \brief Returns how full an upstream is until all its calls have ended.
    [[nodiscard]] double fullness_at_ends(directory_entry const& entry,
                                          state::service const& service) const;
    [[nodiscard]] std::optional<selected_upstream>
    choose_sampled(std::span<state::member_key const> members, state::service const& service,
                   call_demand const& demand, selection_options const& options,
                   state::time_point now) const;
    /// \brief Returns the upstreams whose load this VM knows.
    [[nodiscard]] std::vector<state::member_key>
    members_for_copies(state::service const& service) const;
    /// \brief Returns whether an upstream may take work, is reachable and is not excluded.
    [[nodiscard]] bool may_hold_copy(directory_entry const& entry, state::service const& service,
                                     selection_options const& options, state::time_point now) const;
    /// \brief Returns what speaks against a candidate; the lowest is chosen.
    [[nodiscard]] double cost_of(directory_entry const& entry, selected_upstream const& candidate,
                                 call_demand const& demand, selection_options const& options,
                                 state::time_point now) const;
    /// \brief Returns what the time to its first event adds to that.
    [[nodiscard]] static double wait_cost(state::duration time_to_first_event,
                                          call_demand const& demand) noexcept;
    /// \brief Returns the learnt speed; nominal where the part is off.
    [[nodiscard]] speed_factors factors_of(directory_entry const& entry) const;
    template <class Sampled>
    [[nodiscard]] std::optional<selected_upstream>
    best_of(std::span<state::member_key const> members, state::service const& service,
            call_demand const& demand, selection_options const& options, state::time_point now,
            Sampled const& is_sampled) const;

    service_directory const& directory_;
    load_ledger const& ledger_;
    outlier_detector const& health_;
    send_gate const& gate_;
    upstream_subset const& subset_;
    selection_hints const& hints_;
    std::string_view own_zone_;
    std::minstd_rand& random_;
    engine_pace pace_;
};

} // namespace plumdale::coordination
