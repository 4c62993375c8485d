#pragma once

#include <plumdale/state/load_report.hpp>
#include <plumdale/state/time.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <vector>

/// \file
/// \brief A small model of an engine: continuous batching in paged memory, in virtual time.

namespace bench
{

using plumdale::state::duration;
using plumdale::state::time_point;

/// \brief One output on an engine.
struct sequence
{
    std::uint32_t run = 0; ///< Index into the driver's table of runs.
    std::uint32_t prompt = 0;
    std::uint32_t length = 0;
    std::uint32_t tokens = 0;
    std::uint32_t blocks = 0;
    bool question = false;
};

/// \brief Parameters of the modelled accelerator.
struct engine_parameters
{
    std::uint32_t blocks = 4096;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_running = 256;
    duration step_base_time = std::chrono::milliseconds{12};
    duration step_time_per_sequence = std::chrono::microseconds{450};
    duration prefill_time_per_token = std::chrono::microseconds{20};
    std::uint32_t max_prefill_tokens = 2048;
};

/// \brief Decodes one token a step for every running sequence. When a block is needed and none is
/// free, the youngest sequence is preempted: its memory is freed and recomputed later.
class engine_model
{
public:
    explicit engine_model(engine_parameters parameters)
        : parameters_{parameters}, free_{parameters.blocks}
    {
    }

    void add(sequence each)
    {
        // Questions wait ahead of drafts, as in engines that honour priorities.
        auto at = waiting_.end();
        if (each.question)
        {
            at = std::find_if(waiting_.begin(), waiting_.end(),
                              [](sequence const& other) { return !other.question; });
        }
        waiting_.insert(at, each);
    }

    /// \brief Begins a step and returns its duration; zero when no sequence runs.
    duration begin_step()
    {
        std::uint32_t const prefilled = admit();
        if (running_.empty())
        {
            return {};
        }
        return parameters_.step_base_time + parameters_.step_time_per_sequence * running_.size() +
               parameters_.prefill_time_per_token * prefilled;
    }

    /// \brief Ends a step; calls `on_token(sequence, done)` for each generated token.
    template <class OnToken>
    void end_step(OnToken on_token)
    {
        for (std::size_t i = 0; i < running_.size();)
        {
            if (!grow(i))
            {
                break; // This sequence is the youngest and is preempted.
            }
            sequence& each = running_[i];
            ++each.tokens;
            bool const done = each.tokens >= each.length;
            on_token(each, done);
            if (done)
            {
                free_ += each.blocks;
                running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
                continue;
            }
            ++i;
        }
    }

    /// \brief Drops all sequences; calls `on_lost(sequence)` for each.
    template <class OnLost>
    void clear(OnLost on_lost)
    {
        std::for_each(running_.begin(), running_.end(), on_lost);
        std::for_each(waiting_.begin(), waiting_.end(), on_lost);
        running_.clear();
        waiting_.clear();
        free_ = parameters_.blocks;
        preemptions_ = 0;
    }

    /// \brief Drops the sequences of one run.
    void cancel(std::uint32_t run)
    {
        auto const is_run = [run](sequence const& each)
        {
            return each.run == run;
        };
        auto const found = std::find_if(running_.begin(), running_.end(), is_run);
        if (found != running_.end())
        {
            free_ += found->blocks;
            running_.erase(found);
        }
        waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is_run), waiting_.end());
    }

    [[nodiscard]] plumdale::state::load_report report() const
    {
        plumdale::state::load_report report;
        report.blocks_total = parameters_.blocks;
        report.blocks_used = parameters_.blocks - free_;
        report.block_tokens = parameters_.block_tokens;
        report.running = static_cast<std::uint32_t>(running_.size());
        report.waiting = static_cast<std::uint32_t>(waiting_.size());
        report.preemptions = preemptions_;
        return report;
    }

    [[nodiscard]] std::vector<sequence> const& running() const
    {
        return running_;
    }
    [[nodiscard]] std::deque<sequence> const& waiting() const
    {
        return waiting_;
    }
    [[nodiscard]] engine_parameters const& parameters() const
    {
        return parameters_;
    }

private:
    [[nodiscard]] std::uint32_t blocks_for(std::uint32_t tokens) const
    {
        return (tokens + parameters_.block_tokens - 1) / parameters_.block_tokens;
    }

    std::uint32_t admit()
    {
        std::uint32_t prefilled = 0;
        while (!waiting_.empty() && running_.size() < parameters_.max_running &&
               prefilled < parameters_.max_prefill_tokens)
        {
            sequence each = waiting_.front();
            std::uint32_t const tokens = each.prompt + each.tokens;
            std::uint32_t const wanted = blocks_for(tokens + 1);
            if (wanted > free_)
            {
                break;
            }
            free_ -= wanted;
            each.blocks = wanted;
            prefilled += tokens;
            running_.push_back(each);
            waiting_.pop_front();
        }
        return prefilled;
    }

    bool grow(std::size_t i)
    {
        while (blocks_for(running_[i].prompt + running_[i].tokens + 1) > running_[i].blocks)
        {
            if (free_ > 0)
            {
                --free_;
                ++running_[i].blocks;
                continue;
            }
            sequence youngest = running_.back();
            running_.pop_back();
            free_ += youngest.blocks;
            youngest.blocks = 0;
            waiting_.push_front(youngest);
            ++preemptions_;
            if (i == running_.size())
            {
                return false;
            }
        }
        return true;
    }

    engine_parameters parameters_;
    std::uint32_t free_;
    std::vector<sequence> running_;
    std::deque<sequence> waiting_;
    std::uint64_t preemptions_ = 0;
};

} // namespace bench
