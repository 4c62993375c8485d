#include <plumdale/coordination/control_plane.hpp>
#include <plumdale/coordination/drain.hpp>
#include <plumdale/coordination/leaving_marks.hpp>
#include <plumdale/coordination/load_collector.hpp>
#include <plumdale/coordination/membership.hpp>
#include <plumdale/coordination/order_planner.hpp>
#include <plumdale/coordination/preset_agreement.hpp>
#include <plumdale/coordination/upstream_list.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

// Connects the components: each datagram that one of them sends carries the updates of all others,
// and each datagram that arrives is passed to all.
class control_plane::implementation
{
public:
    implementation(node_settings const& settings, published<fleet_snapshot>& fleet,
                   std::atomic<std::uint32_t> const& in_flight, std::uint64_t seed)
        : settings_{settings}, fleet_{fleet}, in_flight_{in_flight}, members_{settings, seed},
          agreement_{settings, members_.self(), members_.table(), seed},
          upstreams_{settings, seed}, loads_{settings, members_.self(), members_.table()},
          orders_{settings, members_.self(), members_.table()}, drain_{settings}
    {
    }

    void handle(control_event const& event, state::time_point now, control_actions& actions)
    {
        now_ = now;
        if (was_paused())
        {
            on(process_paused{}, actions);
        }
        std::visit([&](auto const& each) { on(each, actions); }, event);
        advance(actions);
        publish_changes();
    }

    [[nodiscard]] state::time_point next_deadline() const
    {
        return std::min({members_.next_deadline(), agreement_.next_deadline(),
                         upstreams_.next_deadline(), loads_.next_deadline(),
                         orders_.next_deadline(), drain_.next_deadline()});
    }

private:
    // -- configuration and operators -----------------------------------------------------------

    template <class Event>
    auto on(Event const& event, control_actions& /*actions*/)
        -> decltype(std::declval<preset_agreement&>().handle(event, state::time_point{}))
    {
        agreement_.handle(event, now_);
    }

    void on(operator_switch const& event, control_actions& actions)
    {
        agreement_.handle(event, now_, actions);
    }

    void on(content_requested const& event, control_actions& actions)
    {
        agreement_.handle(event, actions);
    }

    // -- upstreams -----------------------------------------------------------------------------

    void on(vm_list_read const& event, control_actions& /*actions*/)
    {
        members_.set_candidates(event.entry_vms);
        upstreams_.replace(event.upstreams, now_);
        for (state::upstream const& each : event.upstreams)
        {
            marks_.prune(each.id, each.incarnation_number);
            if (each.leaving)
            {
                mark_leaving({each.id, each.incarnation_number});
            }
        }
        changed_ = true;
    }

    void on(vm_list_failed const& /*event*/, control_actions& /*actions*/) {}

    void on(upstream_leaving const& event, control_actions& /*actions*/)
    {
        mark_leaving({event.upstream, event.incarnation_number});
    }

    void on(load_reported const& event, control_actions& /*actions*/)
    {
        if (upstream_view const* const view = upstreams_.find(event.report.upstream))
        {
            store_report(*view->gauge, event.report, now_);
            loads_.add_report(event.report, now_);
        }
        if (event.report.leaving)
        {
            mark_leaving({event.report.upstream, event.report.incarnation_number});
        }
    }

    void on(load_unavailable const& /*event*/, control_actions& /*actions*/) {}

    void on(order_read const& event, control_actions& actions)
    {
        orders_.handle(event, now_, actions);
    }

    void on(order_failed const& event, control_actions& /*actions*/)
    {
        orders_.handle(event);
    }

    void mark_leaving(leaving_mark mark)
    {
        if (marks_.add(mark, members_.table().entries().size()))
        {
            members_.request_gossip();
            changed_ = true;
        }
    }

    // -- peers ---------------------------------------------------------------------------------

    void on(datagram_received const& event, control_actions& actions)
    {
        peer_message const& message = event.message;
        std::size_t const first = actions.size();
        members_.receive(event.from, message, now_, actions);
        if (message.sender.id == settings_.self.id)
        {
            return;
        }
        for (leaving_mark const& mark : message.marks)
        {
            mark_leaving(mark);
        }
        agreement_.receive(message, message.digests.marks == marks_.digest(), now_);
        for (load_summary const& each : message.loads)
        {
            if (upstream_view const* const view = upstreams_.find(each.upstream))
            {
                store_report(*view->gauge, expand(each), now_);
            }
        }
        piggyback(actions, first, &message);
    }

    void piggyback(control_actions& actions, std::size_t first, peer_message const* reply_to)
    {
        for (std::size_t i = first; i < actions.size(); ++i)
        {
            if (auto* const datagram = std::get_if<send_datagram>(&actions[i]))
            {
                peer_message& message = datagram->message;
                agreement_.piggyback(message, reply_to);
                marks_.piggyback(message,
                                 reply_to != nullptr && reply_to->digests.marks != marks_.digest());
                loads_.piggyback(message, now_);
            }
        }
    }

    // -- lifecycle -----------------------------------------------------------------------------

    void on(drain_requested const& /*event*/, control_actions& /*actions*/)
    {
        if (!drain_.begun())
        {
            drain_.begin(now_);
            members_.leave(now_);
            changed_ = true;
        }
    }

    void on(process_paused const& /*event*/, control_actions& /*actions*/)
    {
        members_.resume_after_pause(now_);
        agreement_.resume_after_pause(now_);
        orders_.resume_after_pause();
        changed_ = true;
    }

    void on(deadline_reached const& /*event*/, control_actions& /*actions*/) {}

    // A deadline that is overdue by more than `pause_tolerance` is a pause that was not reported,
    // whichever event comes first after it: the state from before it may be stale.
    [[nodiscard]] bool was_paused() const
    {
        return deadline_ != state::time_point{} && now_ - deadline_ > settings_.pause_tolerance &&
               settings_.safeguards.has(safeguard::pause_recheck);
    }

    void advance(control_actions& actions)
    {
        std::size_t const first = actions.size();
        if (agreement_.take_update_pending())
        {
            members_.request_gossip();
        }
        members_.advance(now_, actions);
        agreement_.advance(now_, actions);
        for (state::member const& each : agreement_.members_to_poll(now_))
        {
            members_.poll(each, actions);
        }
        upstreams_.advance(now_, actions);
        loads_.advance(next_snapshot_, now_, actions);
        orders_.advance(now_, actions);
        drain_.advance(in_flight_.load(std::memory_order_acquire), now_, actions);
        piggyback(actions, first, nullptr);
        report_replacement(actions);
        deadline_ = next_deadline();
    }

    void report_replacement(control_actions& actions)
    {
        state::incarnation const newest = members_.replaced_by();
        if (newest && newest != reported_replacement_)
        {
            reported_replacement_ = newest;
            changed_ = true;
            actions.emplace_back(incarnation_replaced{newest});
        }
    }

    // -- publishing ----------------------------------------------------------------------------

    void publish_changes()
    {
        bool const same =
            std::exchange(members_version_, members_.version()) == members_.version() &&
            std::exchange(agreement_version_, agreement_.version()) == agreement_.version();
        if (!changed_ && same)
        {
            return;
        }
        changed_ = false;
        fill(next_snapshot_);
        if (agreement_.in_force_is_durable())
        {
            orders_.plan(next_snapshot_, now_);
        }
        ++next_snapshot_.version;
        fleet_.publish(std::make_shared<fleet_snapshot const>(next_snapshot_));
    }

    void fill(fleet_snapshot& next)
    {
        // A process whose address belongs to a later one must not run work that the later one may
        // run too.
        bool const replaced = static_cast<bool>(members_.replaced_by());
        next.ready = agreement_.ready() && !replaced;
        next.draining = drain_.begun();
        next.presumed_dead_at = members_.presumed_dead_at();
        next.stamp = agreement_.stamp();
        next.in_force = agreement_.in_force();
        next.platform_reachable = agreement_.platform_reachable();
        content_store const& content = agreement_.content();
        if (state::preset const* const preset = content.find_preset(next.in_force.preset))
        {
            next.preset = *preset;
        }
        if (std::vector<state::customer> const* const customers = content.customers())
        {
            next.customers = *customers;
        }
        if (std::vector<state::operator_account> const* const operators = content.operators())
        {
            next.operators = *operators;
        }
        next.presets = content.presets();
        next.upstreams = upstreams_.views();
        for (upstream_view& view : next.upstreams)
        {
            bool const marked = marks_.is_leaving(view.info.id, view.info.incarnation_number) &&
                                settings_.safeguards.has(safeguard::leaving_mark);
            view.accepting = !view.info.leaving && !marked;
        }
        next.members.clear();
        for (state::member_entry const& entry : members_.table().entries())
        {
            if (entry.info.id != settings_.self.id)
            {
                next.members.push_back(entry.info);
            }
        }
    }

    node_settings const& settings_;
    published<fleet_snapshot>& fleet_;
    std::atomic<std::uint32_t> const& in_flight_;
    membership members_;
    preset_agreement agreement_;
    leaving_marks marks_;
    upstream_list upstreams_;
    load_collector loads_;
    order_planner orders_;
    drain drain_;
    fleet_snapshot next_snapshot_;
    bool changed_ = false;
    std::uint64_t members_version_ = 0;
    std::uint64_t agreement_version_ = 0;
    state::incarnation reported_replacement_;
    state::time_point now_{};
    state::time_point deadline_{};
};

control_plane::control_plane(node_settings const& settings, published<fleet_snapshot>& fleet,
                             std::atomic<std::uint32_t> const& in_flight, std::uint64_t seed)
    : implementation_{std::make_unique<implementation>(settings, fleet, in_flight, seed)}
{
}

control_plane::~control_plane() = default;

void control_plane::handle(control_event const& event, state::time_point now,
                           control_actions& actions)
{
    implementation_->handle(event, now, actions);
}

state::time_point control_plane::next_deadline() const
{
    return implementation_->next_deadline();
}

} // namespace plumdale::coordination
