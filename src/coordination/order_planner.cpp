#include <plumdale/coordination/member_selection.hpp>
#include <plumdale/coordination/order_planner.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

constexpr std::uint64_t max_count = 0xffff;

// Returns the engines of one model in an order that is the same at all nodes and changes little
// when an engine joins or leaves.
[[nodiscard]] std::vector<upstream_view const*>
ranked_engines(std::span<upstream_view const> upstreams, state::model_id model)
{
    std::vector<upstream_view const*> result;
    for (upstream_view const& view : upstreams)
    {
        if (view.info.model == model && view.info.kind == state::upstream_kind::engine)
        {
            result.push_back(&view);
        }
    }
    std::sort(result.begin(), result.end(),
              [model](upstream_view const* a, upstream_view const* b) {
                  return state::mix(a->info.id.value, model.value) <
                         state::mix(b->info.id.value, model.value);
              });
    return result;
}

[[nodiscard]] bool same_assignment(state::engine_order const& a, state::engine_order const& b)
{
    return a.role == b.role && a.version == b.version && a.adapter == b.adapter;
}

} // namespace

std::uint64_t fence_of(state::preset_stamp const& stamp) noexcept
{
    std::uint64_t const count = std::min<std::uint64_t>(stamp.count, max_count);
    return stamp.revision << 24U | count << 8U | stamp.operator_id >> 56U;
}

std::vector<planned_order> plan_orders(state::preset_stamp const& stamp,
                                       state::preset const& preset,
                                       std::span<upstream_view const> upstreams)
{
    std::vector<planned_order> plan;
    std::map<state::model_id, std::size_t> assigned;
    std::map<state::model_id, std::uint32_t> percent;
    std::uint32_t rank = 0;
    for (state::engine_assignment const& each : preset.assignments)
    {
        auto const engines = ranked_engines(upstreams, each.model);
        percent[each.model] = std::min(percent[each.model] + each.percent, 100U);
        std::size_t const end = (engines.size() * percent[each.model] + 99) / 100;
        for (std::size_t i = assigned[each.model]; i < end; ++i)
        {
            state::engine_order order{fence_of(stamp), each.role, each.version, each.adapter};
            bool const loads = !each.version.empty() || !each.adapter.empty();
            plan.push_back({engines[i]->info.id, std::move(order), loads ? rank++ : 0});
        }
        assigned[each.model] = std::max(assigned[each.model], end);
    }
    return plan;
}

bool order_planner::is_responsible_for(state::upstream_id upstream) const
{
    return is_responsible(members_, self_, upstream.value, 1, false);
}

void order_planner::plan(fleet_snapshot const& fleet, state::time_point now)
{
    if (fleet.in_force != stamp_)
    {
        stamp_ = fleet.in_force;
        in_force_since_ = now;
    }
    std::map<state::upstream_id, row> rows;
    // A node that has not caught up may know neither the preset in force nor the other members: it
    // would consider itself responsible and order engines back to an older preset.
    if (!fleet.ready)
    {
        rows_.clear();
        return;
    }
    for (planned_order& each : plan_orders(stamp_, fleet.preset, fleet.upstreams))
    {
        upstream_view const* const view = fleet.find_upstream(each.upstream);
        row next{
            std::move(each), view->info.address, view->info.fences_orders, now, now, false, false};
        std::uint32_t const load_batch =
            next.planned.load_rank / std::max(settings_.weight_loads_at_once, 1U);
        next.not_before = in_force_since_ + settings_.weight_load_time * load_batch;
        auto const known = rows_.find(next.planned.upstream);
        if (known != rows_.end() && known->second.planned.order == next.planned.order)
        {
            next.next_read = known->second.next_read;
            next.read_pending = known->second.read_pending;
            next.order_sent = known->second.order_sent;
        }
        rows.emplace(next.planned.upstream, std::move(next));
    }
    rows_ = std::move(rows);
}

void order_planner::handle(order_read const& event, state::time_point now, control_actions& actions)
{
    auto const at = rows_.find(event.upstream);
    if (at == rows_.end())
    {
        return;
    }
    row& each = at->second;
    // Only the answer to a read sent since the last pause and for the plan in force is acted on: an
    // engine that ignores fencing numbers would follow a node that was paused during a switch.
    bool const fresh = std::exchange(each.read_pending, false) ||
                       !settings_.safeguards.has(safeguard::pause_recheck);
    state::engine_order wanted = each.planned.order;
    if (!settings_.safeguards.has(safeguard::order_fence))
    {
        wanted.fence = 0;
    }
    // An engine that checks fencing numbers may already follow a later switch than this node knows.
    bool const is_superseded = each.checks_fence && event.order.fence > wanted.fence;
    bool const follows = same_assignment(event.order, wanted);
    if (!fresh || is_superseded || follows || now < each.not_before ||
        !is_responsible_for(event.upstream))
    {
        return;
    }
    actions.emplace_back(send_order{event.upstream, each.address, std::move(wanted)});
}

void order_planner::handle(order_failed const& event)
{
    auto const at = rows_.find(event.upstream);
    if (at != rows_.end())
    {
        at->second.read_pending = false;
    }
}

void order_planner::resume_after_pause()
{
    for (auto& [upstream, each] : rows_)
    {
        each.read_pending = false;
        each.next_read = {};
    }
}

void order_planner::advance(state::time_point now, control_actions& actions)
{
    for (auto& [upstream, each] : rows_)
    {
        if (now < each.next_read)
        {
            continue;
        }
        each.next_read = now + settings_.order_interval;
        if (is_responsible_for(upstream) && now >= each.not_before)
        {
            read_or_order(each, actions);
        }
        else if (now < each.not_before)
        {
            each.next_read = each.not_before;
        }
    }
}

// If engines were ordered once and never read again, a restarted one would stay without an order.
void order_planner::read_or_order(row& each, control_actions& actions) const
{
    if (settings_.safeguards.has(safeguard::order_readback))
    {
        each.read_pending = true;
        actions.emplace_back(read_order{each.planned.upstream, each.address});
    }
    else if (!std::exchange(each.order_sent, true))
    {
        actions.emplace_back(send_order{each.planned.upstream, each.address, each.planned.order});
    }
}

state::time_point order_planner::next_deadline() const noexcept
{
    state::time_point next = state::never;
    for (auto const& [upstream, each] : rows_)
    {
        next = std::min(next, each.next_read);
    }
    return next;
}

} // namespace plumdale::coordination
