#pragma once

#include <plumdale/coordination/identity_signer.hpp>
#include <plumdale/coordination/request_shard.hpp>

#include <algorithm>
#include <atomic>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief One shard with a stub policy that the test controls.

namespace plumdale::test
{

using namespace coordination;
using namespace std::chrono_literals;

/// \brief Dispatches to the first accepting upstream, or waits while `waits` is set.
class stub_policy final : public dispatch_policy
{
public:
    explicit stub_policy(bool const& waits) : waits_{waits} {}

    dispatch_decision decide(dispatch_attempt const& attempt, fleet_snapshot const& fleet,
                             state::time_point now) override
    {
        dispatch_decision decision;
        for (upstream_view const& view : fleet.upstreams)
        {
            bool const failed = std::find(attempt.failed.begin(), attempt.failed.end(),
                                          view.info.id) != attempt.failed.end();
            if (!failed && view.accepting)
            {
                decision.upstream = &view;
                decision.verdict = waits_ ? dispatch_verdict::wait : dispatch_verdict::dispatch;
                decision.reevaluate_at = now + 100ms;
                return decision;
            }
        }
        decision.kind = state::error_kind::no_upstream;
        return decision;
    }

    void started(state::stream_handle /*stream*/, state::request const& /*request*/,
                 upstream_view const& /*upstream*/, state::time_point /*now*/) override
    {
    }
    void token(state::stream_handle /*stream*/, std::uint32_t /*index*/,
               state::time_point /*now*/) override
    {
    }
    void ended(state::stream_handle /*stream*/, std::uint32_t /*tokens*/,
               stream_outcome /*outcome*/, state::time_point /*now*/) override
    {
    }

private:
    bool const& waits_;
};

/// \brief A shard of VM 1, two upstreams, and the actions of the last event.
struct shard_fixture
{
    shard_fixture()
    {
        settings.self.id = {1};
        settings.self.incarnation_number = {1};
        settings.fleet_key = "an example fleet key";
        settings.key_takeover_delay = 0s;
        view.ready = true;
        view.preset.retry_after = 700ms;
        view.customers.emplace_back();
        view.customers.back().id = {7};
        for (std::uint64_t id : {500U, 501U})
        {
            upstream_view upstream;
            upstream.info.id = {id};
            upstream.info.model = model;
            upstream.gauge = std::make_shared<upstream_gauge>();
            view.upstreams.push_back(std::move(upstream));
        }
        publish();
        shard = std::make_unique<request_shard>(shard_context{settings, signer, fleet, in_flight},
                                                0, std::make_unique<stub_policy>(waits));
        send(deadline_reached{});
    }

    void publish()
    {
        fleet.publish(std::make_shared<fleet_snapshot const>(view));
    }

    void send(request_event const& event)
    {
        actions.clear();
        shard->handle(event, now, actions);
    }

    /// \brief Advances time and delivers every due deadline; `actions` collects the actions of all
    /// of them.
    void advance(state::duration time)
    {
        state::time_point const end = now + time;
        request_actions all;
        while (shard->next_deadline() <= end)
        {
            now = std::max(now, shard->next_deadline());
            send(deadline_reached{});
            std::move(actions.begin(), actions.end(), std::back_inserter(all));
        }
        now = end;
        actions = std::move(all);
    }

    [[nodiscard]] state::request run_request(state::work_kind kind, bool repeatable) const
    {
        state::request request;
        request.model = model;
        request.kind = kind;
        request.repeatable = repeatable;
        request.body = std::make_shared<std::string const>("a body");
        return request;
    }

    /// \brief Returns the last action of a type, or null.
    template <class Action>
    [[nodiscard]] Action const* last_action() const
    {
        for (auto each = actions.rbegin(); each != actions.rend(); ++each)
        {
            if (Action const* const found = std::get_if<Action>(&*each))
            {
                return found;
            }
        }
        return nullptr;
    }

    node_settings settings;
    identity_signer signer{"an example fleet key"};
    published<fleet_snapshot> fleet{std::make_shared<fleet_snapshot const>()};
    std::atomic<std::uint32_t> in_flight{0};
    fleet_snapshot view;
    state::model_id model{9};
    bool waits = false;
    state::time_point now{1h};
    request_actions actions;
    std::unique_ptr<request_shard> shard;
};

} // namespace plumdale::test
