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

/// \brief What the oracle may see of the model.
struct true_state
{
    std::vector<std::unique_ptr<engine_model>> const& engines;
    std::unordered_map<std::uint64_t, std::uint32_t> const& engine_of; ///< By upstream id.
    std::unordered_map<std::uint64_t, std::uint32_t> const& length_of; ///< By request key.
};

/// \brief Admits a request when the true future peak of an engine's memory stays in bounds.
class oracle final : public plumdale::coordination::dispatch_policy
{
public:
    oracle(true_state world, std::uint64_t seed) : world_{world}, random_{seed} {}

    [[nodiscard]] plumdale::coordination::dispatch_decision
    decide(plumdale::coordination::dispatch_attempt const& attempt,
           plumdale::coordination::fleet_snapshot const& fleet,
           plumdale::state::time_point now) override
    {
        plumdale::coordination::dispatch_decision decision;
        bool const draft = attempt.request.kind == plumdale::state::work_kind::draft;
        double least = draft ? draft_bound : question_bound;
        auto const views = fleet.upstreams_of(attempt.request.model);
        double const places = fleet.preset.max_batch * (draft ? draft_places : 1.0);
        std::size_t const first = random_() % views.size();
        for (std::size_t i = 0; i < std::min(views.size(), sampled_engines); ++i)
        {
            auto const& view = views[(first + i) % views.size()];
            engine_model const& engine = *world_.engines[world_.engine_of.at(view.info.id.value)];
            double const count = static_cast<double>(engine.running().size()) +
                                 static_cast<double>(engine.waiting().size());
            bool const failed = std::find(attempt.failed.begin(), attempt.failed.end(),
                                          view.info.id) != attempt.failed.end();
            if (!view.accepting || failed || count + 1 > places)
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
        auto const patience = draft ? fleet.preset.draft_wait : std::chrono::milliseconds{250};
        if (decision.upstream == nullptr && now - attempt.received < patience)
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
    static constexpr double draft_bound = 0.975; ///< The rest is for questions to come.
    static constexpr double question_bound = 0.995;
    static constexpr double draft_places = 0.9;
    static constexpr std::size_t sampled_engines = 16;

    /// \brief Returns the highest part of the memory that will be held, if nothing more came.
    double peak_of(engine_model const& engine, plumdale::state::request const& request)
    {
        futures_.clear();
        auto const note = [this](sequence const& each)
        {
            futures_.emplace_back(each.length - each.tokens, each.prompt + each.tokens);
        };
        std::for_each(engine.running().begin(), engine.running().end(), note);
        std::for_each(engine.waiting().begin(), engine.waiting().end(), note);
        futures_.emplace_back(world_.length_of.at(request.key.value), request.prompt_tokens);
        std::sort(futures_.begin(), futures_.end());
        double held = 0.0;
        for (auto const& each : futures_)
        {
            held += each.second + rounding;
        }
        double peak = 0.0;
        auto alive = static_cast<double>(futures_.size());
        for (auto const& each : futures_)
        {
            peak = std::max(peak, held + alive * each.first);
            held -= each.second + rounding;
            alive -= 1.0;
        }
        return peak / (engine.figures().blocks * engine.figures().block_tokens);
    }

    static constexpr double rounding = 8.0; ///< Half a block is unused on average.

    true_state world_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> futures_;
};

} // namespace bench
