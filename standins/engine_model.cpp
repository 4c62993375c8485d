#include "engine_model.hpp"

#include "token_text.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <utility>

namespace plumdale::standins
{
namespace
{

constexpr std::string_view length_marker = "[tokens=";
constexpr std::uint32_t bytes_per_token = 4;
constexpr std::uint32_t block_bytes = 64;
constexpr double max_answer_tokens = 20'000.0;

std::uint32_t requested_length(std::string_view prompt)
{
    std::size_t const at = prompt.find(length_marker);
    if (at == std::string_view::npos)
    {
        return 0;
    }
    std::string_view const digits = prompt.substr(at + length_marker.size());
    std::uint32_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

} // namespace

// Log-normal, with a mean near 2,000 tokens for a draft and 65 for anything else.
std::uint32_t answer_length(stream_request const& request)
{
    std::uint32_t length = requested_length(request.prompt);
    if (length == 0)
    {
        std::mt19937_64 random{state::stable_hash(request.prompt)};
        bool const draft = request.kind == "draft";
        std::lognormal_distribution<double> lengths{draft ? 7.3 : 4.0, draft ? 0.8 : 0.6};
        length = static_cast<std::uint32_t>(std::clamp(lengths(random), 1.0, max_answer_tokens));
    }
    return request.max_tokens == 0 ? length : std::min(length, request.max_tokens);
}

engine_model::engine_model(engine_settings settings)
    : settings_{std::move(settings)}, cache_{settings_.cache_blocks}
{
}

std::uint32_t engine_model::start(stream_request const& request)
{
    engine_run run;
    run.number = static_cast<std::uint32_t>(runs_.size());
    run.generation = request.generation;
    run.kind = request.kind;
    run.mark = run_mark(settings_.name, run.number);
    run.priority = request.priority;
    run.prompt_tokens = static_cast<std::uint32_t>(request.prompt.size()) / bytes_per_token + 1;
    run.length = answer_length(request);
    run.prefix = prefix_hashes(request.prompt);
    latest_run_[run.generation] = run.number;
    runs_.push_back(std::move(run));
    enqueue(runs_.back().number);
    return runs_.back().number;
}

engine_run const* engine_model::cancel(std::string_view generation)
{
    auto const found = latest_run_.find(std::string{generation});
    if (found == latest_run_.end())
    {
        return nullptr;
    }
    engine_run& run = runs_[found->second];
    if (run.state == run_state::waiting || run.state == run_state::running)
    {
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), run.number), waiting_.end());
        running_.erase(std::remove(running_.begin(), running_.end(), run.number), running_.end());
        release_blocks(run);
        run.state = run_state::cancelled;
    }
    return &run;
}

engine_step engine_model::step()
{
    engine_step done;
    std::uint32_t const prefilled = admit();
    std::vector<std::uint32_t> const batch = running_;
    for (std::uint32_t const number : batch)
    {
        engine_run& run = runs_[number];
        if (run.state != run_state::running || !reserve_next_token(number))
        {
            continue;
        }
        done.outputs.push_back({number, run.generated, false});
        ++run.generated;
        if (run.generated >= run.length)
        {
            running_.erase(std::find(running_.begin(), running_.end(), number));
            release_blocks(run);
            run.state = run_state::finished;
            cache_.store(run.prefix, settings_.blocks_total - blocks_used_ - cache_.size());
            done.outputs.push_back({number, run.generated, true});
        }
    }
    if (!batch.empty())
    {
        done.duration = settings_.step + settings_.step_per_sequence * batch.size() +
                        settings_.prefill_per_token * prefilled;
    }
    return done;
}

// Returns the number of prefilled tokens. A preempted run recomputes its prompt and output, except
// for the prompt blocks that are in the prefix cache.
std::uint32_t engine_model::admit()
{
    std::uint32_t prefilled = 0;
    while (!waiting_.empty() && running_.size() < settings_.max_batch)
    {
        engine_run& run = runs_[waiting_.front()];
        std::uint32_t const tokens = run.prompt_tokens + run.generated;
        std::uint32_t const needed = blocks_for(tokens + 1);
        if (!allocate_blocks(needed))
        {
            break;
        }
        run.blocks = needed;
        run.state = run_state::running;
        std::uint32_t const cached = cache_.hits(run.prefix) * (block_bytes / bytes_per_token);
        prefilled += tokens - std::min(tokens, cached);
        running_.push_back(run.number);
        waiting_.pop_front();
    }
    return prefilled;
}

bool engine_model::reserve_next_token(std::uint32_t number)
{
    std::uint32_t const needed =
        blocks_for(runs_[number].prompt_tokens + runs_[number].generated + 1);
    while (runs_[number].blocks < needed)
    {
        if (allocate_blocks(1))
        {
            ++runs_[number].blocks;
            continue;
        }
        std::uint32_t const victim = *std::min_element(
            running_.begin(), running_.end(),
            [this](auto a, auto b)
            {
                return std::pair{runs_[a].priority, -static_cast<std::int64_t>(a)} <
                       std::pair{runs_[b].priority, -static_cast<std::int64_t>(b)};
            });
        preempt(victim);
        if (victim == number)
        {
            return false;
        }
    }
    return true;
}

void engine_model::preempt(std::uint32_t number)
{
    running_.erase(std::find(running_.begin(), running_.end(), number));
    release_blocks(runs_[number]);
    runs_[number].state = run_state::waiting;
    ++runs_[number].preemptions;
    ++preemptions_;
    enqueue(number);
}

void engine_model::enqueue(std::uint32_t number)
{
    auto const position = std::find_if(waiting_.begin(), waiting_.end(),
                                       [this, number](std::uint32_t other) {
                                           return std::pair{-runs_[other].priority, other} >
                                                  std::pair{-runs_[number].priority, number};
                                       });
    waiting_.insert(position, number);
}

bool engine_model::allocate_blocks(std::uint32_t count)
{
    std::uint32_t const free = settings_.blocks_total - blocks_used_ - cache_.size();
    if (free < count && free + cache_.evict(count - free) < count)
    {
        return false;
    }
    blocks_used_ += count;
    return true;
}

void engine_model::release_blocks(engine_run& run)
{
    blocks_used_ -= run.blocks;
    run.blocks = 0;
}

std::uint32_t engine_model::blocks_for(std::uint32_t tokens) const noexcept
{
    return (tokens + settings_.block_tokens - 1) / settings_.block_tokens;
}

bool engine_model::idle() const noexcept
{
    return waiting_.empty() && running_.empty();
}

engine_run const* engine_model::find(std::string_view generation) const
{
    auto const found = latest_run_.find(std::string{generation});
    return found == latest_run_.end() ? nullptr : &runs_[found->second];
}

std::vector<engine_run> const& engine_model::runs() const noexcept
{
    return runs_;
}

engine_load engine_model::load() const noexcept
{
    return {settings_.blocks_total, blocks_used_, static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size()), preemptions_};
}

prefix_cache& engine_model::cache() noexcept
{
    return cache_;
}

} // namespace plumdale::standins
