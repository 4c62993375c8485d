#include <plumdale/coordination/evidence_exchange.hpp>

#include <algorithm>

namespace plumdale::coordination
{

// In a fleet of hundreds a VM sends seldom and so gets unsolicited answers seldom. A VM that lacks
// evidence therefore also requests it, once all digests that it receives differ from its own.
evidence_answer evidence_exchange::received(observation const& seen, state::time_point now)
{
    bool const differs = seen.peer_digest != seen.own_digest;
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
    bool const is_drawn =
        seen.random_value % std::max<std::size_t>(seen.peers, 1) < unsolicited_senders;
    answer.should_send =
        seen.is_request || (is_drawn && now >= sent_at_ + min_unsolicited_interval);
    if (answer.should_send)
    {
        sent_at_ = now;
    }
    answer.should_request = !seen.is_request && now >= agreed_at_ + propagation_time &&
                            now >= requested_at_ + min_request_interval;
    if (answer.should_request)
    {
        requested_at_ = now;
    }
    return answer;
}

} // namespace plumdale::coordination
