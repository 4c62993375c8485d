#pragma once

#include <plumdale/coordination/customer_shares.hpp>
#include <plumdale/coordination/dispatch_policy.hpp>
#include <plumdale/coordination/length_estimator.hpp>
#include <plumdale/coordination/load_forecaster.hpp>
#include <plumdale/coordination/overflow_limit.hpp>
#include <plumdale/coordination/prefix_hints.hpp>
#include <plumdale/coordination/retry_budget.hpp>
#include <plumdale/coordination/subset_selector.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>

/// \file
/// \brief The policy in use: admits and routes requests by projected memory.

namespace plumdale::coordination
{

/// \brief Node and zone of the entry VM that a shard belongs to.
struct entry_vm_placement
{
    state::node_id node;
    state::zone_id zone;
    /// \brief Shards of this entry VM.
    std::uint32_t shards = 1;
};

/// \brief Dispatch decisions by reason, counted since the start.
struct dispatch_counts
{
    std::uint64_t own_zone = 0;
    /// \brief Sent to another zone, since no upstream of the own zone accepts work.
    std::uint64_t spilled_no_upstream = 0;
    /// \brief Sent to another zone, since the own zone has no capacity.
    std::uint64_t spilled_no_capacity = 0;
    std::uint64_t warm_prefix = 0;
    std::uint64_t refused_memory = 0;
    std::uint64_t refused_batch = 0;
    std::uint64_t refused_share = 0;
    std::uint64_t refused_limit = 0;
    std::uint64_t refused_retry = 0;
};

/// \brief Admits a request while the chance that an engine's memory overflows stays under the
/// preset's bound, and routes it to the least full of a few engines.
///
/// Built from `length_estimator`, `load_forecaster`, `overflow_limit`, `customer_shares`,
/// `retry_budget`, `subset_selector` and `prefix_hints`. Shards of one entry VM share nothing but
/// the gauges.
class projected_memory_policy final : public dispatch_policy
{
public:
    projected_memory_policy(entry_vm_placement placement, subset_limits limits, std::uint64_t seed);

    [[nodiscard]] dispatch_decision decide(dispatch_attempt const& attempt,
                                           fleet_snapshot const& fleet,
                                           state::time_point now) override;
    void started(state::stream_handle stream, state::request const& request,
                 upstream_view const& upstream, state::time_point now) override;
    void token(state::stream_handle stream, std::uint32_t index, state::time_point now) override;
    void ended(state::stream_handle stream, std::uint32_t tokens, stream_outcome outcome,
               state::time_point now) override;

    /// \brief Returns the memory of one stream in bytes, without the hash table's node.
    [[nodiscard]] static constexpr std::size_t stream_bytes() noexcept;
    /// \brief Returns the counts of routing and refusals.
    [[nodiscard]] dispatch_counts const& counts() const noexcept;
    /// \brief Returns the learnt factor on the memory limit of a model's engines.
    [[nodiscard]] double limit_factor(state::model_id model) const noexcept;

private:
    /// \brief State learnt from one model's engines.
    struct model_state
    {
        explicit model_state(length_estimator& lengths) : book{lengths} {}

        load_forecaster book;
        overflow_limit limit;
        std::unordered_map<upstream_gauge const*, std::uint64_t> preemptions;
        std::uint32_t answers = 0;
        state::time_point binding_until{}; ///< Until then the limit counts as binding.
        state::time_point next_refresh{};
    };

    struct stream
    {
        std::shared_ptr<upstream_gauge> gauge;
        model_state* model = nullptr; ///< Null for a call to a plain service.
        length_estimator::estimate_id cell = 0;
        state::customer_id customer;
        std::uint32_t prompt = 0;
        std::uint32_t max_tokens = 0;
        std::uint32_t tokens = 0;
        std::uint32_t counted_tokens = 0;
        bool draft = false;
        double expected = 0.0;
        stream_load load;
    };

    /// \brief The best engine found so far, and why others were rejected.
    struct engine_search
    {
        dispatch_attempt const& attempt;
        model_state const& model;
        load_forecast demand;
        double limit_fraction = 1.0;
        state::upstream_id warm{};
        upstream_view const* best = nullptr;
        double best_fill = 0.0;
        bool best_is_warm = false;
        bool batch_full = false;
    };

    void refresh(model_state& model, fleet_snapshot const& fleet, state::model_id id,
                 zone_split const& engines, state::time_point now);
    static double new_preemptions(model_state& model,
                                  std::span<upstream_view const* const> engines);
    [[nodiscard]] dispatch_decision decide_generation(dispatch_attempt const& attempt,
                                                      fleet_snapshot const& fleet,
                                                      zone_split const& engines,
                                                      state::time_point now);
    [[nodiscard]] dispatch_decision decide_call(dispatch_attempt const& attempt,
                                                zone_split const& services,
                                                state::duration mean_delay);
    void scan(engine_search& found, std::span<upstream_view const* const> engines,
              state::time_point now);
    void evaluate(engine_search& found, upstream_view const& view, state::time_point now) const;
    [[nodiscard]] bool usable(upstream_gauge const& gauge, state::time_point now) const;
    void count_route(engine_search const& found, zone_split const& engines);
    [[nodiscard]] dispatch_decision
    wait_or_refuse(engine_search const& found, state::preset const& preset, state::time_point now);
    [[nodiscard]] dispatch_decision refuse(state::error_kind kind, state::duration mean_delay);
    [[nodiscard]] double jitter_factor();
    void update_forecast(stream& each, state::time_point now);

    entry_vm_placement placement_;
    std::minstd_rand random_;
    length_estimator lengths_;
    customer_shares shares_;
    retry_budget retries_;
    subset_selector directory_;
    prefix_hints hints_;
    dispatch_counts counts_;
    std::unordered_map<state::model_id, model_state> models_;
    std::unordered_map<state::stream_handle, stream> streams_;
    std::uint32_t max_batch_ = 48;
    std::uint32_t entry_vms_ = 1;
    std::uint64_t shares_version_ = 0;
    state::time_point next_shares_{};
};

constexpr std::size_t projected_memory_policy::stream_bytes() noexcept
{
    return sizeof(stream);
}

/// \brief Returns a factory of policies for the shards of one entry VM, for `entry_node`.
[[nodiscard]] std::function<std::unique_ptr<dispatch_policy>(std::uint32_t)>
projected_memory_factory(entry_vm_placement placement, std::uint64_t seed);

} // namespace plumdale::coordination
