#pragma once

#include <plumdale/coordination/prompt_quarantine.hpp>
#include <plumdale/coordination/request_quarantine.hpp>

/// \file
/// \brief Which calls are refused because upstreams end as they run them.

namespace plumdale::coordination
{

/// \brief A request by what may end its upstreams.
struct call_content
{
    state::request_digest request;
    /// \brief Parts of its prompt that other requests may have too.
    prompt_quarantine::part_list parts;
};

/// \brief The quarantine of whole requests and that of parts of prompts, and what one says about
/// the other.
struct call_quarantine
{
    request_quarantine requests;
    prompt_quarantine prompts;

    /// \brief Returns whether a call that arrives now is refused for the request that it is,
    /// whatever its prompt has in common with others.
    [[nodiscard]] bool refuses_request(state::request_digest request, state::time_point now);
    [[nodiscard]] bool refuses(call_content const& content, state::time_point now);
    /// \brief Returns the part that the call may be sent to try; none if it is refused for more.
    [[nodiscard]] std::optional<state::prompt_part> due_trial(call_content const& content,
                                                              state::time_point now) const;
    /// \brief Returns how long a refused call stays refused unless it arrives again.
    [[nodiscard]] state::duration refused_for(call_content const& content,
                                              state::time_point now) const;
    /// \brief Returns a digest of all that is refused.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return requests.digest() ^ prompts.digest();
    }
};

} // namespace plumdale::coordination
