#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief How fast each upstream is, learnt from calls and shared between entry VMs.

namespace plumdale::coordination
{

/// \brief What one entry VM observed at an upstream, as peers receive it.
///
/// Ratios are lower quantiles of the natural logarithm of the time that was taken over the time
/// that was expected, in thousandths; weights are numbers of observations, aged, in tenths.
struct speed_row
{
    state::member_key member;
    std::int16_t prefill = 0;
    std::uint16_t prefill_weight = 0;
    std::int16_t pace = 0;
    std::uint16_t pace_weight = 0;

    friend constexpr bool operator==(speed_row const&, speed_row const&) noexcept = default;
};

/// \brief How long an upstream takes, as multiples of the nominal times.
struct speed_factors
{
    /// \brief Time to read a prompt.
    double prefill = 1.0;
    /// \brief Time for each generated token.
    double pace = 1.0;
    /// \brief Known from enough observations; otherwise the factors are the service's middle.
    bool is_known = false;
    /// \brief Some upstream of the service differs from the middle; otherwise all factors are 1.
    bool is_uneven = false;
};

/// \brief An upstream became slow beside the others of its service, or is no longer.
struct speed_change
{
    state::member_key member;
    bool is_slow = false;
    speed_factors factors;
};

/// \brief Learns the speed of each incarnation of an upstream; one VM sees few calls, so the
/// estimate is made of the observations of all.
///
/// Example:
/// \code
/// upstream_speeds speeds;
/// speeds.note_first_event(member, 1.6, now);  // took 1.6 times as long as expected
/// speeds.estimate(directory.members_of("lists"), now);
/// speeds.factors(member).prefill;
/// \endcode
class upstream_speeds
{
public:
    /// \brief Records the time to a first event as a multiple of the nominal time.
    void note_first_event(state::member_key member, double ratio, state::time_point now);
    /// \brief Records the time for some tokens as a multiple of the nominal time.
    void note_pace(state::member_key member, double ratio, state::time_point now);
    /// \brief Estimates the factors of a service's upstreams; returns those that became slow or are
    /// slow no longer.
    std::vector<speed_change> estimate(std::span<state::member_key const> members,
                                       state::time_point now);
    /// \brief Returns the last estimate for an upstream.
    [[nodiscard]] speed_factors factors(state::member_key member) const;
    /// \brief Returns this VM's own rows for peers, those with the newest observations first.
    [[nodiscard]] std::vector<speed_row> own_rows(std::size_t max_count,
                                                  state::time_point now) const;
    /// \brief Replaces the rows of a peer for the upstreams that it names.
    void apply_update(state::node_id peer, std::span<speed_row const> rows, state::time_point now);
    /// \brief Drops what has aged.
    void sweep(state::time_point now);

    /// \brief Returns how many upstreams' speeds are known.
    [[nodiscard]] std::size_t known_count() const noexcept;
    [[nodiscard]] std::size_t slow_count() const noexcept;

    /// \brief Upstreams whose times differ from the service's middle by no more than this factor
    /// count as equally fast.
    static constexpr double equal_ratio = 1.6;
    /// \brief Late first events count where the pace deviates as well, by this factor at least.
    static constexpr double agreeing_ratio = 1.2;
    /// \brief An upstream that was slow counts as such until it is within this factor.
    static constexpr double recovered_ratio = 1.4;
    /// \brief Greatest deviation from the nominal time that is believed.
    static constexpr double max_ratio = 8.0;
    /// \brief Observations that an entry VM keeps of an upstream: some four seconds of a stream.
    static constexpr std::size_t kept_observations = 13;
    /// \brief Share of the kept observations that took less time than what is reported: pauses of a
    /// machine only make times longer.
    static constexpr double reported_quantile = 0.3;
    /// \brief So many observations in a row that differ from the reported one by `change_ratio`,
    /// more than pauses cause, are a change of the upstream: those before are dropped.
    static constexpr std::size_t change_count = 3;
    static constexpr double change_ratio = 2.8;
    /// \brief Most observations that one entry VM counts for, whatever it reports.
    static constexpr double max_vm_weight = 3.0;
    /// \brief Observations from which on a speed is known: of a pace more than fall into a pause
    /// of the upstream.
    static constexpr double min_pace_weight = 8.0;
    static constexpr double min_first_event_weight = 3.0;
    /// \brief Entry VMs that must have observed it, where there are as many.
    static constexpr std::size_t min_observers = 2;
    /// \brief Times in which the weight of an observation falls to 1/e. Streams show their pace
    /// several times a second, first events come once a second or less.
    static constexpr state::duration pace_memory = std::chrono::seconds{2};
    static constexpr state::duration first_event_memory = std::chrono::seconds{5};
    /// \brief How long an upstream keeps its class without observations: long answers avoid slow
    /// upstreams, and would return there as soon as nothing is known.
    static constexpr state::duration class_lifetime = std::chrono::seconds{10};
    /// \brief Share of known upstreams outside `equal_ratio` from which on the factors are absolute
    /// rather than relative to the service's middle.
    static constexpr double uneven_share = 0.25;

private:
    enum class speed_kind : std::uint8_t
    {
        prefill,
        pace
    };

    struct observation
    {
        double log_ratio = 0.0;
        state::time_point at{};
    };

    /// \brief The last observations of one kind, the newest first.
    struct recent_observations
    {
        std::array<observation, kept_observations> values{};
        std::size_t count = 0;

        void add(observation value) noexcept;
        [[nodiscard]] double quantile() const noexcept;
        /// \brief Returns whether the last observations all differ from a value to one side.
        [[nodiscard]] bool has_left(double log_ratio) const noexcept;
        [[nodiscard]] double weight(state::duration memory, state::time_point now) const noexcept;
        [[nodiscard]] state::time_point newest() const noexcept;
    };

    struct own_speed
    {
        recent_observations prefill;
        recent_observations pace;
    };

    struct peer_row
    {
        state::node_id peer;
        speed_row row;
        state::time_point received_at{};
    };

    struct sample
    {
        double log_ratio = 0.0;
        double weight = 0.0;
    };

    /// \brief Logarithms of an upstream's times over the nominal ones, where known.
    struct measured_speed
    {
        std::optional<double> prefill;
        std::optional<double> pace;
    };

    /// \brief Deviations from the service's middle, as logarithms.
    struct deviations
    {
        double prefill = 0.0;
        double pace = 0.0;
    };

    struct estimate_state
    {
        speed_factors factors;
        deviations deviation;
        state::time_point known_at{};
        bool is_slow = false;
    };

    static void note(recent_observations& into, double ratio, state::time_point now);
    [[nodiscard]] speed_row row_of(state::member_key member, own_speed const& own,
                                   state::time_point now) const;
    [[nodiscard]] std::vector<sample> samples_of(state::member_key member, speed_kind kind,
                                                 state::time_point now) const;
    [[nodiscard]] std::optional<double> measure(state::member_key member, speed_kind kind,
                                                state::time_point now) const;
    [[nodiscard]] static std::optional<double>
    middle_of(std::span<measured_speed const> speeds, std::optional<double> measured_speed::*kind);
    [[nodiscard]] static deviations deviations_of(measured_speed const& speed,
                                                  measured_speed const& middle);
    void classify(estimate_state& state, measured_speed const& speed, measured_speed const& middle,
                  state::time_point now) const;
    void set_factors(std::span<state::member_key const> members, measured_speed const& middle);

    std::unordered_map<state::member_key, own_speed> own_;
    std::unordered_map<state::member_key, std::vector<peer_row>> peers_;
    std::unordered_map<state::member_key, estimate_state> estimates_;
    /// \brief Some peer has reported speeds: then one VM's observations alone don't suffice.
    bool has_peers_ = false;
};

} // namespace plumdale::coordination
