#pragma once

#include <plumdale/coordination/cold_upstream_limiter.hpp>
#include <plumdale/coordination/load_ledger.hpp>
#include <plumdale/coordination/outlier_detector.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/upstream_limits.hpp>
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
};

/// \brief A choice and how full its upstream will be.
struct selected_upstream
{
    state::member_key member;
    /// \brief Projected share of memory, or of the batch or slots where that is greater, with this
    /// call.
    double fullness = 0.0;
    /// \brief Time until its first event, as worked out from the prompts to be read before.
    state::duration time_to_first_event{};
    /// \brief Upstreams that were looked at.
    std::size_t candidates_examined = 0;
};

/// \brief Among which upstreams a call's is chosen.
struct selection_options
{
    /// \brief Share of fullness that a call to another zone is worth avoiding: about one run of 24.
    /// Its bytes are paid for, and a copy of its memory takes twice as long.
    static constexpr double other_zone_penalty = 0.2;
    /// \brief Of more upstreams than twice this, about as many are drawn for each choice. All entry
    /// VMs see an upstream that has just come, and with all of them to choose from ten calls met at
    /// it within 0.1 s; drawn ones spread, and eight are enough to find one that is nearly the
    /// best.
    static constexpr std::size_t sampled_candidates = 8;
    /// \brief ... for a call that would have to wait or to be refused otherwise: a long prompt
    /// needs an upstream that reads next to nothing else, of which eight drawn ones have none in a
    /// crowd.
    static constexpr std::size_t thorough_candidates = 64;

    std::string_view preferred_zone{};
    std::span<state::member_key const> excluded{};
    /// \brief An upstream that is not in `preferred_zone` counts as fuller by this.
    double zone_penalty = other_zone_penalty;
    /// \brief About as many upstreams are looked at.
    std::size_t candidates = sampled_candidates;
};

/// \brief Takes the upstream that will be least full, its own zone and sound ones first.
///
/// Example: `upstream_selector choice{directory, ledger, health, share, limits, "heredia-a",
/// random};`
class upstream_selector
{
public:
    upstream_selector(service_directory const& directory, load_ledger const& ledger,
                      outlier_detector const& health, cold_upstream_limiter const& share,
                      upstream_limits const& limits, std::string_view own_zone,
                      std::minstd_rand& random);

    /// \brief Returns the best upstream of a service; none when there is none that may take work,
    /// or none among those that were looked at.
    [[nodiscard]] std::optional<selected_upstream> choose(state::service const& service,
                                                          call_demand const& demand,
                                                          selection_options const& options,
                                                          state::time_point now) const;
    /// \brief Returns whether an upstream is taken for cold.
    [[nodiscard]] bool is_cold(directory_entry const& entry, state::service const& service,
                               state::time_point now) const;
    /// \brief Returns whether a request may be sent to it now: it takes work, and this VM's shares
    /// of what it states that it takes, and of what it bears while it is cold, are not used up.
    [[nodiscard]] bool may_send(directory_entry const& entry, state::service const& service,
                                state::time_point now) const;
    /// \brief Returns how full an upstream would be with this call.
    [[nodiscard]] double fullness(directory_entry const& entry, state::service const& service,
                                  call_demand const& demand) const;
    /// \brief Returns how long an upstream takes to this call's first event.
    [[nodiscard]] state::duration time_to_first_event(directory_entry const& entry,
                                                      call_demand const& demand) const;
    /// \brief Returns how long an upstream that reads nothing else takes to this call's first
    /// event.
    [[nodiscard]] static state::duration min_time_to_first_event(call_demand const& demand);
    /// \brief Returns the mean projected share of memory over a service's upstreams.
    [[nodiscard]] double mean_fullness(state::service const& service, state::time_point now) const;
    /// \brief Returns the chance with which each upstream of a service is looked at.
    [[nodiscard]] double sampling_probability(std::size_t members,
                                              std::size_t candidates) const noexcept;
    [[nodiscard]] std::string_view own_zone() const noexcept
    {
        return own_zone_;
    }

    /// \brief Spread of a random part, so that entry VMs that see the same don't choose the same.
    static constexpr double max_score_noise = 0.03;
    /// \brief Prompt tokens that an upstream reads in a millisecond beside its running batch: a
    /// chunk of 112 in each step of 7 ms and 8 ms for the chunk.
    static constexpr double prompt_tokens_per_ms = 7.0;
    /// \brief Share of fullness that a wait of a second for the first event is worth avoiding: the
    /// objective is 1.5 to 1.8 s, and a late answer earns a sixth.
    static constexpr double wait_penalty_per_second = 1.0;
    /// \brief Above this share of memory running generations are soon preempted.
    static constexpr double preemption_threshold = 0.85;
    static constexpr double preemption_penalty = 4.0;
    /// \brief Added in full for an upstream that is set aside: above any fullness.
    static constexpr double ejection_penalty = 10.0;

private:
    template <class Sampled>
    [[nodiscard]] std::optional<selected_upstream>
    best_of(std::span<state::member_key const> members, state::service const& service,
            call_demand const& demand, selection_options const& options, state::time_point now,
            Sampled const& is_sampled) const;

    service_directory const& directory_;
    load_ledger const& ledger_;
    outlier_detector const& health_;
    cold_upstream_limiter const& share_;
    upstream_limits const& limits_;
    std::string_view own_zone_;
    std::minstd_rand& random_;
};

} // namespace plumdale::coordination
