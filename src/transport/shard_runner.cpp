#include "shard_runner.hpp"

#include "clock.hpp"
#include "http_fetch.hpp"

#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace plumdale::transport
{

shard_runner::shard_runner(coordination::entry_node& node, std::uint32_t shard,
                           std::span<std::unique_ptr<worker> const> workers,
                           link_settings const& links, state::duration pause_tolerance)
    : node_{node}, shard_{shard}, workers_{workers},
      own_worker_{*workers[shard]}, context_{own_worker_.context()}, timer_{context_},
      pause_detector_{pause_tolerance, suspended_time()}, fleet_{node.fleet_reader()},
      relay_client_{context_, links,
                    [this](coordination::request_event event)
                    {
                        handle(event);
                    }}
{
}

void shard_runner::post(coordination::request_event event)
{
    net::post(context_, [this, event = std::move(event)] { handle(event); });
}

void shard_runner::handle(coordination::request_event const& event)
{
    state::duration const pause_length =
        pause_detector_.pause_length(now(), suspended_time(), timer_at_);
    if (pause_length > state::duration::zero())
    {
        apply_event(coordination::process_paused{pause_length});
    }
    forward_to_relay(event);
    apply_event(event);
    arm_timer();
}

void shard_runner::apply_event(coordination::request_event const& event)
{
    coordination::request_actions actions = std::move(reusable_actions_);
    actions.clear();
    node_.handle(shard_, event, now(), actions);
    for (coordination::request_action const& action : actions)
    {
        std::visit([this](auto const& each) { carry_out(each); }, action);
    }
    reusable_actions_ = std::move(actions);
}

// Whether a relayed caller is blocked is reported to the owner, which pauses its engine stream.
void shard_runner::forward_to_relay(coordination::request_event const& event)
{
    if (auto const* const blocked = std::get_if<coordination::caller_blocked>(&event))
    {
        relay_client_.send_event(blocked->caller, protocol::caller_event::blocked);
    }
    else if (auto const* const ready = std::get_if<coordination::caller_ready>(&event))
    {
        relay_client_.send_event(ready->caller, protocol::caller_event::ready);
    }
}

// Most tokens move the next deadline slightly later. The timer is then left unchanged, and rearmed
// when it fires too early: one timer operation per deadline instead of one per token.
void shard_runner::arm_timer()
{
    state::time_point const deadline = node_.next_deadline(shard_);
    if (is_timer_armed_ && timer_at_ <= deadline)
    {
        return;
    }
    timer_at_ = deadline;
    is_timer_armed_ = deadline != state::never;
    if (!is_timer_armed_)
    {
        return;
    }
    timer_.expires_at(to_steady(deadline));
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                on_timer();
            }
        });
}

void shard_runner::on_timer()
{
    is_timer_armed_ = false;
    if (now() < node_.next_deadline(shard_))
    {
        return arm_timer();
    }
    handle(coordination::deadline_reached{});
}

void shard_runner::carry_out(coordination::open_stream const& action)
{
    ++own_worker_.metrics().counts.streams_opened;
    coordination::upstream_view const* const upstream =
        fleet_.current().find_upstream(action.upstream);
    std::string model = upstream == nullptr ? std::string{} : upstream->info.model_name;
    state::stream_handle const stream = action.stream;
    auto listener = [this, stream](coordination::request_event event)
    {
        bool const ended = std::holds_alternative<coordination::upstream_finished>(event) ||
                           std::holds_alternative<coordination::upstream_failed>(event);
        if (ended)
        {
            streams_.erase(stream);
        }
        handle(event);
    };
    streams_[stream] =
        open_engine_stream(context_, action, std::move(model), answers_held_, std::move(listener));
}

void shard_runner::carry_out(coordination::close_stream const& action)
{
    if (auto const found = streams_.find(action.stream); found != streams_.end())
    {
        auto const stream = found->second;
        streams_.erase(found);
        stream->close();
    }
}

void shard_runner::carry_out(coordination::cancel_generation const& action)
{
    fetch_request request;
    request.address = action.address;
    request.method = "DELETE";
    request.target = "/v1/streams/" + protocol::to_text(action.generation);
    fetch(context_, std::move(request), [](state::result<fetch_answer> const& /*answer*/) {});
}

void shard_runner::carry_out(coordination::pause_stream const& action)
{
    if (auto const found = streams_.find(action.stream); found != streams_.end())
    {
        found->second->pause();
    }
}

void shard_runner::carry_out(coordination::continue_stream const& action)
{
    if (auto const found = streams_.find(action.stream); found != streams_.end())
    {
        found->second->resume();
    }
}

void shard_runner::carry_out(coordination::relay_request const& action)
{
    ++own_worker_.metrics().counts.relays;
    relay_client_.relay(action);
}

void shard_runner::carry_out(coordination::close_relay const& action)
{
    relay_client_.close(action.caller);
}

template <class Answer>
void shard_runner::carry_out(Answer const& answer)
{
    worker& caller_worker = *workers_[answer.caller.value % workers_.size()];
    if (&caller_worker == &own_worker_)
    {
        if (auto const sink = caller_worker.find(answer.caller))
        {
            sink->deliver(answer);
        }
        return;
    }
    net::post(caller_worker.context(),
              [&caller_worker, answer]
              {
                  if (auto const sink = caller_worker.find(answer.caller))
                  {
                      sink->deliver(answer);
                  }
              });
}

} // namespace plumdale::transport
