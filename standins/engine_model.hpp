#pragma once

#include "prefix_cache.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Model of an engine's batching, memory and preemption, without I/O or a clock.

namespace plumdale::standins
{

struct engine_settings
{
    std::string name;
    std::string model = "lists";
    std::uint32_t blocks_total = 2'000;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_batch = 48;
    /// \brief A step takes `step + running * step_per_sequence + prefilled * prefill_per_token`.
    std::chrono::microseconds step{5'000};
    std::chrono::microseconds step_per_sequence{100};
    std::chrono::microseconds prefill_per_token{20};
    std::uint32_t cache_blocks = 500;
};

struct stream_request
{
    std::string generation;
    std::string model;
    std::string kind;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// \brief A greater value is more urgent.
    std::int32_t priority = 0;
};

enum class run_state : std::uint8_t
{
    waiting,
    running,
    finished,
    cancelled
};

/// \brief One run of an identity. Starting an identity twice makes two runs.
struct engine_run
{
    std::uint32_t number = 0;
    std::string generation;
    std::string kind;
    char mark = 'a';
    std::int32_t priority = 0;
    run_state state = run_state::waiting;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t length = 0;
    std::uint32_t generated = 0;
    std::uint32_t blocks = 0;
    std::uint32_t preemptions = 0;
    std::vector<std::uint64_t> prefix;
};

/// \brief A token that a step generated, or the end of a run.
struct step_output
{
    std::uint32_t run = 0;
    std::uint32_t index = 0;
    bool done = false;
};

struct engine_step
{
    std::chrono::microseconds duration{0};
    std::vector<step_output> outputs;
};

struct engine_load
{
    std::uint32_t blocks_total = 0;
    std::uint32_t blocks_used = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0;
};

/// \brief Returns the answer's length in tokens: N if the prompt contains `[tokens=N]`, else a
/// random number seeded by the prompt.
[[nodiscard]] std::uint32_t answer_length(stream_request const& request);

/// \brief Continuous batching over memory in blocks, with preemption by recompute.
class engine_model
{
public:
    explicit engine_model(engine_settings settings);

    /// \brief Queues a run and returns its number.
    std::uint32_t start(stream_request const& request);
    /// \brief Cancels the newest run of an identity; returns it, or null when there is none.
    engine_run const* cancel(std::string_view generation);
    /// \brief Runs one step; its duration is zero if no sequence is running.
    engine_step step();

    [[nodiscard]] bool idle() const noexcept;
    /// \brief Returns the newest run of an identity, or null.
    [[nodiscard]] engine_run const* find(std::string_view generation) const;
    [[nodiscard]] std::vector<engine_run> const& runs() const noexcept;
    [[nodiscard]] engine_load load() const noexcept;
    [[nodiscard]] prefix_cache& cache() noexcept;

private:
    [[nodiscard]] std::uint32_t blocks_for(std::uint32_t tokens) const noexcept;
    bool allocate_blocks(std::uint32_t count);
    std::uint32_t admit();
    bool reserve_next_token(std::uint32_t number);
    void preempt(std::uint32_t number);
    void release_blocks(engine_run& run);
    void enqueue(std::uint32_t number);

    engine_settings settings_;
    prefix_cache cache_;
    std::vector<engine_run> runs_;
    std::unordered_map<std::string, std::uint32_t> latest_run_;
    std::deque<std::uint32_t> waiting_;
    std::vector<std::uint32_t> running_;
    std::uint32_t blocks_used_ = 0;
    std::uint64_t preemptions_ = 0;
};

} // namespace plumdale::standins
