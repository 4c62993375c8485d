#include <plumdale/coordination/evidence_exchange.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// Of hundreds, one that sends seldom would be told seldom: so who lacks something asks as well,
// once all that it hears differs from what it knows.
evidence_answer evidence_exchange::heard(sighting const& seen, state::time_point now)
{
    bool const differs = seen.heard_digest != seen.own_digest;
    if (!differs || seen.own_digest != own_digest_)
    {
        own_digest_ = seen.own_digest;
        agreed_at_ = now;
    }
    evidence_answer answer;
    if (!differs)
    {
        return answer;
    }
    bool const is_drawn = seen.draw % std::max<std::size_t>(seen.peers, 1) < tellers;
    answer.tells = seen.is_question || (is_drawn && now >= told_at_ + telling_pause);
    if (answer.tells)
    {
        told_at_ = now;
    }
    answer.asks =
        !seen.is_question && now >= agreed_at_ + settling && now >= asked_at_ + question_pause;
    if (answer.asks)
    {
        asked_at_ = now;
    }
    return answer;
}

} // namespace plumdale::coordination
