#pragma once

#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <unordered_map>

/// \file
/// \brief Upstreams that refused a request of this VM and want no further one for a time.

namespace plumdale::coordination
{

/// \brief Keeps this VM away from upstreams for as long as they asked it to.
///
/// A back-off concerns one VM: others are free to send until they are refused themselves. Example:
/// \code
/// upstream_backoffs backoffs;
/// backoffs.requested(member, 3s, now);
/// if (!backoffs.is_backing_off(member, now)) { send(); }
/// \endcode
class upstream_backoffs
{
public:
    /// \brief Records a refusal that asks for `time` without requests; returns whether that ends
    /// later than was known.
    bool requested(state::member_key member, state::duration time, state::time_point now);
    /// \brief Returns the end of the last back-off; the epoch if there was none.
    [[nodiscard]] state::time_point end_of(state::member_key member) const;
    [[nodiscard]] bool is_backing_off(state::member_key member, state::time_point now) const;
    /// \brief Returns how long the upstream's back-off goes on; zero without one.
    [[nodiscard]] state::duration left(state::member_key member, state::time_point now) const;
    /// \brief Returns whether a request that no other upstream can take may be sent all the same.
    [[nodiscard]] bool may_send_exception(state::member_key member, state::time_point now) const;
    /// \brief Counts a request towards the exceptions of a back-off.
    void note_sent(state::member_key member, state::time_point now);
    /// \brief Drops back-offs that are over.
    void sweep(state::time_point now);

    /// \brief Requests sent in a back-off; another one may still be on its way when it begins.
    static constexpr std::uint32_t max_exceptions = 1;

private:
    struct backoff
    {
        state::time_point end{};
        std::uint32_t sent = 0;
    };

    [[nodiscard]] backoff const* find(state::member_key member, state::time_point now) const;

    std::unordered_map<state::member_key, backoff> backoffs_;
};

} // namespace plumdale::coordination
