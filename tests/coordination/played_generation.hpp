#pragma once

#include <plumdale/coordination/generation_failover.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

/// \file
/// \brief A generation at upstreams that work on when their streams end.

namespace plumdale::test
{

/// \brief Plays drawn events to a `generation_failover`. Upstreams run what they are sent until it
/// ends by itself, they are ordered to stop it, or they are gone; they queue it and begin late;
/// their streams end at any time; their answers are late, lost, and always true.
class played_generation
{
public:
    explicit played_generation(std::uint32_t seed);

    void step();
    [[nodiscard]] bool has_ended() const noexcept
    {
        return has_ended_;
    }
    /// \brief Returns at how many upstreams it runs or waits to run.
    [[nodiscard]] std::size_t most_runs() const;
    [[nodiscard]] std::size_t resumptions() const noexcept
    {
        return resumptions_;
    }

private:
    enum class run_state : std::uint8_t
    {
        none,
        queued,
        working
    };
    struct pending_order
    {
        coordination::order_copy order;
        bool is_carried_out = false;
        /// \brief It found the generation at work.
        bool found_run = false;
    };

    void apply(coordination::failover_actions const& actions);
    void resume(coordination::resume_generation const& action);
    /// \brief Does what the order says at its upstream, whether or not the answer comes.
    void carry_out_order();
    void answer_order(coordination::failover_actions& actions);
    void end_stream(coordination::failover_actions& actions);
    void change_run();
    void announce(coordination::failover_actions& actions);

    std::minstd_rand random_;
    coordination::generation_failover failover_;
    state::time_point now_{std::chrono::seconds{100}};
    std::map<state::member_key, run_state> runs_;
    std::vector<state::member_key> gone_;
    std::optional<pending_order> order_;
    state::member_key at_;
    bool is_open_ = true;
    bool is_resuming_ = false;
    bool has_ended_ = false;
    std::size_t resumptions_ = 0;
};

} // namespace plumdale::test
