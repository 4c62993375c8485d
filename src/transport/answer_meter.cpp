#include "answer_meter.hpp"

#include <utility>

namespace plumdale::transport
{

using coordination::answer_outcome;

void answer_meter::begin(coordination::error_budget_key key, bool counted, state::time_point now)
{
    ++metrics_.counts.requests;
    key_ = key;
    counted_ = counted;
    has_first_token_ = false;
    last_progress_ = now;
}

void answer_meter::record_token(state::time_point now)
{
    ++metrics_.counts.tokens;
    state::duration const waited = now - std::exchange(last_progress_, now);
    if (!counted_)
    {
        return;
    }
    if (std::exchange(has_first_token_, true))
    {
        metrics_.token_gap.add(waited);
        return metrics_.error_budgets.record_token_gap(key_, waited, now);
    }
    metrics_.first_token.add(waited);
    metrics_.error_budgets.record_first_token(key_, waited, now);
}

void answer_meter::record_whole(state::time_point now)
{
    ++metrics_.counts.answers_whole;
    finish(answer_outcome::whole, now);
}

void answer_meter::record_refusal(state::error_kind kind, state::time_point now)
{
    ++metrics_.counts.refused[static_cast<std::size_t>(kind)];
    finish(coordination::answer_outcome_for(kind, has_first_token_), now);
}

void answer_meter::record_disconnect(state::time_point now)
{
    ++metrics_.counts.callers_left;
    finish(answer_outcome::left, now);
}

void answer_meter::finish(answer_outcome outcome, state::time_point now)
{
    if (std::exchange(counted_, false))
    {
        metrics_.error_budgets.record_outcome(key_, outcome, now);
    }
}

} // namespace plumdale::transport
