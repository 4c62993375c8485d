#include <plumdale/coordination/call_quarantine.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// A sound request that ran beside two crashes of a refused part has not ended their upstreams.
bool call_quarantine::refuses_request(state::request_digest request, state::time_point now)
{
    return requests.refuses(request, now) &&
           !prompts.accounts_for(requests.ended_upstreams(request));
}

bool call_quarantine::refuses(call_content const& content, state::time_point now)
{
    return prompts.refuses(content.parts, now) || refuses_request(content.request, now);
}

std::optional<state::prompt_part> call_quarantine::due_trial(call_content const& content,
                                                             state::time_point now) const
{
    // What became of a request that may end upstreams itself would say nothing about the part.
    bool const is_suspect = requests.ended_upstream_count(content.request) != 0;
    return is_suspect ? std::nullopt : prompts.due_trial(content.parts, now);
}

state::duration call_quarantine::refused_for(call_content const& content,
                                             state::time_point now) const
{
    return std::max(requests.refused_for(content.request, now),
                    prompts.refused_for(content.parts, now));
}

} // namespace plumdale::coordination
