#include "generation_owner.hpp"
#include "key_resolver.hpp"
#include "pause_detector.hpp"
#include "relay_coordinator.hpp"
#include "shard_core.hpp"

#include <plumdale/coordination/request_shard.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

using state::error_kind;

namespace
{

attached_caller caller_of(request_received const& event)
{
    bool const continues_stream =
        event.request.op == state::operation::attach && event.request.streamed;
    return {event.caller, static_cast<bool>(event.relayed_by), event.request.streamed,
            continues_stream ? event.request.next_index : 0, event.request.deadline};
}

} // namespace

// -- routing --------------------------------------------------------------------------------------

/// \brief Routes each event to the part that handles it.
class request_shard::implementation
{
public:
    implementation(shard_context const& context, std::uint32_t index,
                   std::unique_ptr<dispatch_policy> policy)
        : core_{context, index}, policy_{std::move(policy)}, owner_{core_, *policy_},
          relays_{core_, owner_}, key_resolver_{core_}
    {
    }

    void handle(request_event const& event, state::time_point now, request_actions& actions)
    {
        core_.now = now;
        core_.actions = &actions;
        if (pause_detector_.detects_pause(next_deadline()))
        {
            on(process_paused{});
        }
        pause_detector_.tick();
        refresh_fleet();
        std::visit([this](auto const& each) { on(each); }, event);
        core_.actions = nullptr;
    }

    [[nodiscard]] state::time_point next_deadline() const
    {
        return std::min(pause_detector_.next_tick(), core_.deadlines.next());
    }

    [[nodiscard]] delivery_counts const& counts() const noexcept
    {
        return core_.counts;
    }

private:
    // -- requests ----------------------------------------------------------------------------

    void on(request_received const& event)
    {
        fleet_snapshot const& fleet = core_.view();
        if (!fleet.ready)
        {
            return core_.refuse(event.caller, error_kind::not_ready);
        }
        request_received identified = event;
        if (!event.relayed_by)
        {
            state::customer const* const customer = fleet.find_customer(event.request.api_key);
            if (customer == nullptr)
            {
                return core_.refuse(event.caller, error_kind::unauthenticated, {});
            }
            identified.request.customer = customer->id;
        }
        state::generation_id const& id = event.request.generation;
        bool const authentic =
            !id || core_.context.signer.verify(id) || !core_.enabled(safeguard::identity_mac);
        if (!authentic)
        {
            return core_.refuse(event.caller, error_kind::invalid_request, {});
        }
        bool const begins = event.request.op <= state::operation::reserve;
        if (begins && core_.on_hold() && core_.enabled(safeguard::pause_recheck))
        {
            // The request may have been buffered for as long as the process was paused.
            return core_.refuse(event.caller, error_kind::not_ready);
        }
        route(identified);
    }

    void route(request_received const& event)
    {
        state::request const& request = event.request;
        if (request.generation && request.op != state::operation::reserve)
        {
            return route_by_identity(event);
        }
        if (request.op == state::operation::attach || request.op == state::operation::cancel)
        {
            return core_.refuse(event.caller, error_kind::unknown_generation, {});
        }
        if (request.key && !request.repeatable && request.op == state::operation::run)
        {
            return route_by_key(event);
        }
        if (admit(event))
        {
            begin(event);
        }
    }

    /// \brief Refuses a request that may not begin on this VM now; returns whether it may.
    [[nodiscard]] bool admit(request_received const& event)
    {
        fleet_snapshot const& fleet = core_.view();
        if (fleet.draining)
        {
            core_.refuse(event.caller, error_kind::draining);
            return false;
        }
        bool const reserves = event.request.op == state::operation::reserve;
        if (!reserves && fleet.upstreams_of(event.request.model).empty())
        {
            core_.refuse(event.caller, error_kind::unknown_model, {});
            return false;
        }
        return true;
    }

    void begin(request_received const& event)
    {
        if (event.request.op == state::operation::run)
        {
            owner_.accept(caller_of(event), event.request);
            return;
        }
        state::generation_id const id = owner_.reserve(event.request);
        core_.emit(send_head{event.caller, id, {}});
        core_.emit(send_finished{event.caller, id, 0, {}});
    }

    // -- identities --------------------------------------------------------------------------

    // Only the process named in an identity dispatches it, once: this is a local property of one
    // process, which no partition, pause or stale view of the members can break.
    void route_by_identity(request_received const& event)
    {
        state::generation_id const& id = event.request.generation;
        state::member const& self = core_.settings().self;
        bool const own = id.owner == self.id && id.incarnation_number == self.incarnation_number;
        if (!own && !core_.enabled(safeguard::single_owner))
        {
            owner_.adopt(id, event.request);
            return handle_locally(event);
        }
        if (own)
        {
            return handle_locally(event);
        }
        state::member const* const owner =
            id.owner == self.id ? nullptr : core_.view().find_member(id.owner);
        bool const alive = owner != nullptr && owner->incarnation_number == id.incarnation_number &&
                           owner->health != state::member_health::dead;
        if (alive && !event.relayed_by)
        {
            return relay(event, *owner);
        }
        handle_missing_owner(event);
    }

    void handle_locally(request_received const& event)
    {
        switch (event.request.op)
        {
        case state::operation::run:
            return run_reserved(event);
        case state::operation::attach:
            return owner_.attach(caller_of(event), event.request.generation, event.request);
        case state::operation::cancel:
            return owner_.cancel(event.caller, event.request);
        case state::operation::reserve:
            return;
        }
    }

    void run_reserved(request_received const& event)
    {
        if (!owner_.is_reserved(event.request.generation) || admit(event))
        {
            owner_.run(caller_of(event), event.request);
        }
    }

    // This attempt did not run, and no process knows whether earlier ones did. A generation that an
    // engine has can still be read there, which starts no run.
    void handle_missing_owner(request_received const& event)
    {
        state::request const& request = event.request;
        switch (request.op)
        {
        case state::operation::attach:
            return owner_.read(caller_of(event), {request.generation, request.upstream_hint},
                               request);
        case state::operation::run:
            return core_.refuse(event.caller, request.attempt == 1 ? error_kind::owner_unreachable
                                                                   : error_kind::may_have_run);
        case state::operation::cancel:
            owner_.cancel_on_upstream(request);
            return core_.refuse(event.caller, error_kind::unknown_generation, {});
        case state::operation::reserve:
            return;
        }
    }

    // -- keys --------------------------------------------------------------------------------

    void route_by_key(request_received const& event)
    {
        key_decision const decision =
            key_resolver_.decide(event.request, static_cast<bool>(event.relayed_by));
        switch (decision.verdict)
        {
        case key_verdict::run:
            return run_keyed(event);
        case key_verdict::attach:
            return owner_.attach(caller_of(event), decision.generation, event.request);
        case key_verdict::relay:
            return relay_to_home(event, decision.home);
        case key_verdict::in_use:
            return core_.refuse(event.caller, error_kind::key_in_use, {}, decision.generation);
        case key_verdict::in_doubt:
            count(core_.counts.in_doubt);
            return core_.refuse(event.caller, error_kind::key_in_doubt);
        case key_verdict::home_unreachable:
            return core_.refuse(event.caller, error_kind::owner_unreachable);
        }
    }

    void run_keyed(request_received const& event)
    {
        if (!admit(event))
        {
            return;
        }
        // The key is recorded before the dispatch, because a refusal clears its generation again.
        state::generation_id const id = owner_.next_identity();
        key_resolver_.remember(event.request, id);
        owner_.accept(caller_of(event), event.request);
    }

    void relay_to_home(request_received const& event, state::node_id home)
    {
        state::member const* const node = core_.view().find_member(home);
        if (node == nullptr || node->health == state::member_health::dead)
        {
            return core_.refuse(event.caller, error_kind::owner_unreachable);
        }
        relay(event, *node);
    }

    void relay(request_received const& event, state::member const& node)
    {
        bool const begins = event.request.op == state::operation::run;
        if (begins && core_.view().draining)
        {
            return core_.refuse(event.caller, error_kind::draining);
        }
        relays_.start(event.caller, event.request, node);
    }

    // -- callers -----------------------------------------------------------------------------

    void on(caller_disconnected const& event)
    {
        forward_caller_event(event.caller, &generation_owner::on_caller_disconnected,
                             &relay_coordinator::on_caller_disconnected);
    }

    void on(caller_blocked const& event)
    {
        forward_caller_event(event.caller, &generation_owner::on_caller_blocked,
                             &relay_coordinator::on_caller_blocked);
    }

    void on(caller_ready const& event)
    {
        forward_caller_event(event.caller, &generation_owner::on_caller_ready,
                             &relay_coordinator::on_caller_ready);
    }

    void forward_caller_event(state::caller_handle caller,
                              void (generation_owner::*owner_handler)(state::caller_handle),
                              void (relay_coordinator::*relay_handler)(state::caller_handle))
    {
        if (owner_.has(caller))
        {
            (owner_.*owner_handler)(caller);
        }
        else if (relays_.has(caller))
        {
            (relays_.*relay_handler)(caller);
        }
    }

    // -- upstreams and relays ----------------------------------------------------------------

    template <class Event>
    auto on(Event const& event) -> decltype(std::declval<generation_owner&>().on(event))
    {
        owner_.on(event);
    }

    template <class Event>
    auto on(Event const& event) -> decltype(std::declval<relay_coordinator&>().on(event))
    {
        relays_.on(event);
    }

    // -- time --------------------------------------------------------------------------------

    void on(process_paused const& /*event*/)
    {
        pause_detector_.paused();
        owner_.reset_silence_timers();
        relays_.reset_silence_timers();
    }

    void refresh_fleet()
    {
        // The version is read first, so that a snapshot published in between counts as a change at
        // the next event.
        bool const changed = pause_detector_.fleet_changed();
        core_.refresh_view();
        if (changed)
        {
            key_resolver_.observe();
        }
    }

    void on(deadline_reached const& /*event*/)
    {
        while (core_.deadlines.next() <= core_.now)
        {
            due_item const item = core_.deadlines.take();
            if (item.relay)
            {
                relays_.on_deadline(item.relay);
            }
            else
            {
                owner_.on_deadline(item.generation);
            }
        }
    }

    shard_core core_;
    std::unique_ptr<dispatch_policy> policy_;
    generation_owner owner_;
    relay_coordinator relays_;
    key_resolver key_resolver_;
    pause_detector pause_detector_{core_};
};

request_shard::request_shard(shard_context context, std::uint32_t index,
                             std::unique_ptr<dispatch_policy> policy)
    : implementation_{std::make_unique<implementation>(context, index, std::move(policy))}
{
}

request_shard::~request_shard() = default;

void request_shard::handle(request_event const& event, state::time_point now,
                           request_actions& actions)
{
    implementation_->handle(event, now, actions);
}

state::time_point request_shard::next_deadline() const
{
    return implementation_->next_deadline();
}

delivery_counts const& request_shard::counts() const noexcept
{
    return implementation_->counts();
}

} // namespace plumdale::coordination
