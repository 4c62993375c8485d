#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Where the memory of one generation is held.

namespace plumdale::coordination
{

/// \brief An upstream at which a generation can go on, and what it goes on from there.
struct memory_place
{
    state::member_key at;
    /// \brief Upstream that issued the handle.
    state::member_key holder;
    /// \brief Empty for a backup, which is identified by the call's own id.
    std::string handle;
};

/// \brief The places that hold a generation's memory, newest first, and whose turn it is to be
/// asked to go on with it.
///
/// Example:
/// \code
/// held_memory memory{lifetime};
/// memory.add({destination, source, handle}, now);
/// if (memory_place const* const place = memory.next(may_resume_at)) { /* resume there */ }
/// memory.pass_turn();   // it refused
/// \endcode
class held_memory
{
public:
    /// \brief Says something of an upstream.
    using upstream_check = std::function<bool(state::member_key)>;

    /// \brief `lifetime` is for how long upstreams keep memory at least.
    explicit held_memory(state::duration lifetime) noexcept : lifetime_{lifetime} {}

    /// \brief Adds memory that an upstream holds since now; it is asked first, and replaces what
    /// the same upstream held before.
    void add(memory_place place, state::time_point now);
    /// \brief Adds the copy that a running generation has beside it; it is held while that runs,
    /// and asked last.
    void add_backup(state::member_key at);
    /// \brief The run is over: what is held of it grows no more, and its lifetime begins.
    void run_ended(state::time_point now) noexcept;
    /// \brief An upstream holds nothing any more, or its memory was used.
    void forget(state::member_key at);
    void clear() noexcept;

    /// \brief Returns the place whose turn it is, passing over those that may not be asked now;
    /// none if there is none.
    [[nodiscard]] memory_place const* next(upstream_check const& may_resume_at);
    /// \brief The place whose turn it was can't go on now.
    void pass_turn() noexcept;
    /// \brief Returns whether each place has had its turn since this was last asked.
    [[nodiscard]] bool is_round_over() noexcept;
    [[nodiscard]] bool is_empty() const noexcept
    {
        return places_.empty();
    }
    /// \brief Returns whether its lifetime is over wherever it was held.
    [[nodiscard]] bool has_expired(state::time_point now) const noexcept
    {
        return now >= asked_until_;
    }
    [[nodiscard]] bool is_held_at(state::member_key at) const noexcept;
    /// \brief Returns whether each upstream that holds it passes a check.
    [[nodiscard]] bool is_held_only_at(upstream_check const& check) const;

    /// \brief Lifetimes for which places are asked: upstreams keep memory for longer than they say.
    static constexpr int asked_lifetimes = 2;

private:
    state::duration lifetime_;
    std::vector<memory_place> places_;
    std::size_t turn_ = 0;
    std::size_t passed_ = 0;
    state::time_point asked_until_ = state::never;
};

} // namespace plumdale::coordination
