#pragma once

#include "engine_model.hpp"

#include <plumdale/coordination/dispatch_policy.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

/// \file
/// \brief A policy that knows every length and the true state of every engine.

namespace bench
{

/// \brief State of the model that only the oracle reads.
struct ground_truth
{
    std::vector<std::unique_ptr<engine_model>> const& engines;
    std::unordered_map<std::uint64_t, std::uint32_t> const& engine_of; ///< By upstream id.
    std::unordered_map<std::uint64_t, std::uint32_t> const& length_of; ///< By request key.
};

/// \brief Admits a request when the true future peak of an engine's memory stays below a limit.
class oracle final : public plumdale::coordination::dispatch_policy
{
public:
    oracle(ground_truth truth, std::uint64_t seed) : truth_{truth}, random_{seed} {}

    [[nodiscard]] plumdale::coordination::dispatch_decision
    decide(plumdale::coordination::dispatch_attempt const& attempt,
           plumdale::coordination::fleet_snapshot const& fleet,
           plumdale::state::time_point now) override
    {
        plumdale::coordination::dispatch_decision decision;
        bool const draft = attempt.request.kind == plumdale::state::work_kind::draft;
        double least = draft ? draft_memory_limit : question_memory_limit;
        auto const views = fleet.upstreams_of(attempt.request.model);
        double const max_sequences = fleet.preset.max_batch * (draft ? draft_batch_share : 1.0);
        std::size_t const first = random_() % views.size();
        for (std::size_t i = 0; i < std::min(views.size(), sampled_engines); ++i)
        {
            auto const& view = views[(first + i) % views.size()];
            engine_model const& engine = *truth_.engines[truth_.engine_of.at(view.info.id.value)];
            double const count = static_cast<double>(engine.running().size()) +
                                 static_cast<double>(engine.waiting().size());
            bool const failed = std::find(attempt.failed.begin(), attempt.failed.end(),
                                          view.info.id) != attempt.failed.end();
            if (!view.accepting || failed || count + 1 > max_sequences)
            {
                continue;
            }
            double const peak = peak_of(engine, attempt.request);
            if (peak <= least)
            {
                least = peak;
                decision.verdict = plumdale::coordination::dispatch_verdict::dispatch;
                decision.upstream = &view;
            }
        }
        auto const max_wait = draft ? fleet.preset.draft_wait : std::chrono::milliseconds{250};
        if (decision.upstream == nullptr && now - attempt.received < max_wait)
        {
            decision.verdict = plumdale::coordination::dispatch_verdict::wait;
            decision.reevaluate_at = now + std::chrono::milliseconds{100};
        }
        return decision;
    }

    void started(plumdale::state::stream_handle /*stream*/,
                 plumdale::state::request const& /*request*/,
                 plumdale::coordination::upstream_view const& /*upstream*/,
                 plumdale::state::time_point /*now*/) override
    {
    }
    void token(plumdale::state::stream_handle /*stream*/, std::uint32_t /*index*/,
               plumdale::state::time_point /*now*/) override
    {
    }
    void ended(plumdale::state::stream_handle /*stream*/, std::uint32_t /*tokens*/,
               plumdale::coordination::stream_outcome /*outcome*/,
               plumdale::state::time_point /*now*/) override
    {
    }

private:
    static constexpr double draft_memory_limit = 0.975; ///< Leaves memory for questions.
    static constexpr double question_memory_limit = 0.995;
    static constexpr double draft_batch_share = 0.9;
    static constexpr std::size_t sampled_engines = 16;

    /// \brief Returns the peak share of the memory in use if no further request arrives.
    double peak_of(engine_model const& engine, plumdale::state::request const& request)
    {
        remaining_.clear();
        auto const add_sequence = [this](sequence const& each)
        {
            remaining_.emplace_back(each.length - each.tokens, each.prompt + each.tokens);
        };
        std::for_each(engine.running().begin(), engine.running().end(), add_sequence);
        std::for_each(engine.waiting().begin(), engine.waiting().end(), add_sequence);
        remaining_.emplace_back(truth_.length_of.at(request.key.value), request.prompt_tokens);
        std::sort(remaining_.begin(), remaining_.end());
        double held = 0.0;
        for (auto const& each : remaining_)
        {
            held += each.second + unused_tokens_per_sequence;
        }
        double peak = 0.0;
        auto alive = static_cast<double>(remaining_.size());
        for (auto const& each : remaining_)
        {
            peak = std::max(peak, held + alive * each.first);
            held -= each.second + unused_tokens_per_sequence;
            alive -= 1.0;
        }
        return peak / (engine.parameters().blocks * engine.parameters().block_tokens);
    }

    static constexpr double unused_tokens_per_sequence =
        8.0; ///< Half a block is unused on average.

    ground_truth truth_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> remaining_;
};

} // namespace bench
