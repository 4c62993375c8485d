#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief The lifecycle of one generation as a state machine.

namespace plumdale::coordination
{

enum class lifecycle_state : std::uint8_t
{
    reserved,  ///< An identity was assigned; nothing runs.
    waiting,   ///< To be dispatched.
    starting,  ///< Sent to an upstream; no token yet.
    streaming, ///< Tokens arrive.
    resuming,  ///< Its stream is reopened at the upstream that has it; nothing is started.
    finished,
    failed
};

enum class lifecycle_event : std::uint8_t
{
    run,      ///< The caller wants it to run.
    read,     ///< The caller wants to read what ran already.
    dispatch, ///< It is sent to an upstream.
    token,    ///< A token arrived.
    lost,     ///< The stream timed out or broke.
    not_run,  ///< The upstream provably did not run it.
    restart,  ///< It is to be dispatched again.
    finish,   ///< The last token arrived.
    fail      ///< It is abandoned.
};

/// \brief Allows the transitions that `docs/design/03-delivery.md` lists and no others.
///
/// The Boost.MSM machine is stored in place, so that only the source includes its header. Example:
/// `generation_lifecycle lifecycle; lifecycle.apply(lifecycle_event::run); // state() == waiting`
class generation_lifecycle
{
public:
    generation_lifecycle();
    generation_lifecycle(generation_lifecycle const&) = delete;
    generation_lifecycle& operator=(generation_lifecycle const&) = delete;
    ~generation_lifecycle();

    /// \brief Applies an event; returns false and keeps the state when the event is not allowed.
    [[nodiscard]] bool apply(lifecycle_event event);
    [[nodiscard]] lifecycle_state state() const noexcept
    {
        return state_;
    }
    /// \brief Returns whether an upstream may be running the generation.
    [[nodiscard]] bool may_be_running() const noexcept
    {
        return state_ >= lifecycle_state::starting && state_ <= lifecycle_state::resuming;
    }

private:
    static constexpr std::size_t machine_bytes = 32;
    alignas(std::max_align_t) std::array<std::byte, machine_bytes> machine_;
    lifecycle_state state_ = lifecycle_state::reserved;
};

/// \brief Returns the name of a state, for status pages.
[[nodiscard]] std::string_view lifecycle_state_name(lifecycle_state state) noexcept;

} // namespace plumdale::coordination
