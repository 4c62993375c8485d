#include "played_generation.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::test
{

using namespace coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::member_key source{1};
constexpr state::member_key backup{9};
constexpr std::uint64_t upstreams = 5;

} // namespace

played_generation::played_generation(std::uint32_t seed)
    : random_{seed}, failover_{source,
                               {[this](state::member_key, auto excluded)
                                {
                                    state::member_key const drawn{1 + random_() % upstreams};
                                    bool const is_excluded =
                                        std::find(excluded.begin(), excluded.end(), drawn) !=
                                        excluded.end();
                                    return is_excluded ? std::nullopt : std::optional{drawn};
                                }}},
      at_{source}
{
    runs_[source] = run_state::working;
    if (random_() % 2 == 0)
    {
        failover_.set_backup(backup);
    }
}

std::size_t played_generation::most_runs() const
{
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [](auto const& row) { return row.second != run_state::none; }));
}

void played_generation::step()
{
    now_ += std::chrono::milliseconds{random_() % 300};
    failover_actions actions;
    switch (random_() % 8)
    {
    case 0:
    case 1:
        answer_order(actions);
        break;
    case 2:
        end_stream(actions);
        break;
    case 3:
        change_run();
        break;
    case 4:
        announce(actions);
        break;
    default:
        failover_.advance(now_, actions);
        break;
    }
    apply(actions);
}

void played_generation::announce(failover_actions& actions)
{
    switch (random_() % 3)
    {
    case 0:
        return failover_.source_leaves(
            {random_() % 2 == 0 ? state::never : now_ + 300ms, now_ + 500ms}, now_, actions);
    case 1:
        return failover_.backup_leaves(backup, now_, actions);
    default:
        // An upstream that is gone states its start when it is back.
        if (std::find(gone_.begin(), gone_.end(), failover_.source()) != gone_.end())
        {
            failover_.source_gone(*run_ended::by(send_proof::restarted), now_, actions);
        }
    }
}

void played_generation::change_run()
{
    run_state& run = runs_[at_];
    switch (random_() % 4)
    {
    case 0:
        // A queued run begins, and its first event comes if its channel is open.
        if (run == run_state::queued)
        {
            run = run_state::working;
            if (is_open_ && is_resuming_)
            {
                is_resuming_ = false;
                failover_.resumed(now_);
            }
        }
        return;
    case 1:
        // Where the channel is closed, some notice it and stop.
        if (!is_open_ && run == run_state::working)
        {
            run = run_state::none;
        }
        return;
    case 2:
        run = run_state::none;
        gone_.push_back(at_);
        return;
    default:
        return;
    }
}

void played_generation::end_stream(failover_actions& actions)
{
    if (!is_open_)
    {
        return;
    }
    bool const is_refused = is_resuming_ && random_() % 3 == 0;
    is_open_ = false;
    if (is_refused)
    {
        runs_[at_] = run_state::none;
        return failover_.resume_refused(now_, actions);
    }
    failover_.source_ended(now_, actions);
}

void played_generation::carry_out_order()
{
    if (std::exchange(order_->is_carried_out, true))
    {
        return;
    }
    run_state& run = runs_[order_->order.source];
    order_->found_run = run == run_state::working;
    if (order_->order.last && order_->found_run)
    {
        run = run_state::none;
    }
}

void played_generation::answer_order(failover_actions& actions)
{
    if (!order_)
    {
        return;
    }
    state::member_key const to = order_->order.source;
    if (std::find(gone_.begin(), gone_.end(), to) != gone_.end())
    {
        order_.reset();
        return failover_.copy_refused(copy_refusal::process_gone, {}, now_, actions);
    }
    carry_out_order();
    if (random_() % 2 == 0)
    {
        // Its answer is late.
        return;
    }
    pending_order const answered = *std::exchange(order_, std::nullopt);
    bool const is_last = answered.order.last;
    switch (random_() % 4)
    {
    case 0:
        return failover_.copy_refused(copy_refusal::unreachable, {}, now_, actions);
    case 1:
        return answered.found_run
                   ? failover_.copy_refused(is_last ? copy_refusal::no_capacity
                                                    : copy_refusal::in_progress,
                                            is_last ? "h" : "", now_, actions)
                   : failover_.copy_refused(copy_refusal::rejected, {}, now_, actions);
    default:
        return answered.found_run
                   ? failover_.copied("h", now_, actions)
                   : failover_.copy_refused(copy_refusal::unknown_generation, {}, now_, actions);
    }
}

void played_generation::resume(resume_generation const& action)
{
    ++resumptions_;
    at_ = action.at;
    is_open_ = true;
    is_resuming_ = true;
    bool const is_gone = std::find(gone_.begin(), gone_.end(), at_) != gone_.end();
    if (!is_gone)
    {
        runs_[at_] = run_state::queued;
    }
}

void played_generation::apply(failover_actions const& actions)
{
    for (failover_action const& action : actions)
    {
        if (auto const* const order = std::get_if<order_copy>(&action))
        {
            order_ = pending_order{*order};
        }
        if (auto const* const resumption = std::get_if<resume_generation>(&action))
        {
            resume(*resumption);
        }
        has_ended_ = has_ended_ || std::holds_alternative<abandon_generation>(action);
    }
}

} // namespace plumdale::test
