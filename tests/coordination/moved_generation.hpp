#pragma once

#include <plumdale/coordination/generation_failover.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

/// \file
/// \brief A generation whose upstreams leave, in virtual time, against what they really hold.

namespace plumdale::test
{

/// \brief Plays one call to a `generation_failover`.
///
/// Upstreams leave in series, run on until they are ordered to stop, and break nothing off.
/// Destinations leave and fill up; resumptions are refused for up to 3 s; orders take effect and
/// are answered up to 4 s late, lost, or carried out twice; repeats run out. Whatever the caller
/// loses was lost by the moves.
class moved_generation
{
public:
    explicit moved_generation(std::uint32_t seed);

    /// \brief How a call ended.
    enum class outcome : std::uint8_t
    {
        open,
        whole,
        cut,        ///< No upstream held its memory under a name that was told.
        cut_unduly, ///< One did, and could have been asked.
        time_over   ///< Its caller's time or patience.
    };

    /// \brief Plays the call to its end.
    void play();

    [[nodiscard]] outcome result() const noexcept
    {
        return result_;
    }
    /// \brief Returns at how many upstreams it ran at once at most.
    [[nodiscard]] std::size_t most_runs() const noexcept
    {
        return most_runs_;
    }
    /// \brief Returns the longest time for which it was stopped while an upstream that holds its
    /// memory would have taken it, and a repeat was there.
    [[nodiscard]] state::duration longest_idle() const noexcept
    {
        return longest_idle_;
    }
    [[nodiscard]] std::size_t stops() const noexcept
    {
        return stops_;
    }
    /// \brief Returns how many resumptions named an upstream that did not issue the handle.
    [[nodiscard]] std::size_t wrong_holders() const noexcept
    {
        return wrong_holders_;
    }
    [[nodiscard]] std::size_t resumptions() const noexcept
    {
        return resumptions_;
    }

private:
    struct upstream
    {
        std::optional<state::time_point> leaves_since;
        bool is_gone = false;
        bool runs = false;
        bool copies = false;
        state::time_point refuses_until{};
        state::time_point holds_until{};
    };
    using key = state::member_key;

    [[nodiscard]] double draw();
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] state::duration between(state::duration from, state::duration to);
    void after(state::duration delay, std::function<void()> event);
    /// \brief Calls the failover, and carries out what it orders.
    void tell(std::function<void(coordination::failover_actions&)> const& event);

    [[nodiscard]] coordination::move_rules rules();
    [[nodiscard]] std::optional<key> choose(std::span<key const> excluded);
    [[nodiscard]] bool may_resume_at(key at) const;
    [[nodiscard]] bool reserve();
    /// \brief Returns whether asking an upstream would have the generation go on.
    [[nodiscard]] bool is_askable(key at) const;
    void note_idle();

    void add_upstream();
    void leave(key at);
    void tell_departure();
    void begin_run(key at);
    void produce(key at, std::uint64_t run);
    void end_run(key at);

    void carry_out(coordination::order_copy const& order);
    void deliver(coordination::order_copy const& order, std::uint64_t run);
    void stop(key at);
    void finish_copy(coordination::order_copy const& order, std::uint64_t run);
    void answer(std::uint64_t run, std::function<void()> const& by);
    void carry_out(coordination::resume_generation const& resumption);
    void send(coordination::resume_generation const& resumption);
    void carry_out(coordination::release_copy const& /*copy*/) {}
    void carry_out(coordination::abandon_generation const& abandon);

    std::minstd_rand random_;
    state::time_point const begun_at_{std::chrono::seconds{100}};
    state::time_point now_ = begun_at_;
    std::multimap<state::time_point, std::function<void()>> events_;
    std::map<key, upstream> upstreams_;
    std::uint64_t next_key_ = 1;
    coordination::generation_failover failover_;
    /// \brief Upstreams that the entry VM was told to hold the memory.
    std::set<key> told_;
    /// \brief Who issued the handle of what an upstream holds.
    std::map<key, key> issuers_;
    key at_;
    std::uint64_t run_ = 0;
    bool is_open_ = true;
    bool is_resuming_ = false;
    bool is_reserved_ = false;
    bool was_stopped_ = false;
    std::uint32_t repeats_ = 2;
    std::uint32_t events_left_;
    state::time_point last_event_at_ = begun_at_;
    std::optional<state::time_point> askable_since_;
    state::duration longest_idle_{};
    outcome result_ = outcome::open;
    std::size_t most_runs_ = 0;
    std::size_t stops_ = 0;
    std::size_t resumptions_ = 0;
    std::size_t wrong_holders_ = 0;
};

} // namespace plumdale::test
