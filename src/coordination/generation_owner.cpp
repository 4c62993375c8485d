#include "generation_owner.hpp"

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{
namespace
{

/// \brief Limit in bytes of the plain calls' answers that one shard keeps for repeats.
constexpr std::size_t max_kept_text_bytes = std::size_t{4} << 20U;

} // namespace

generation_owner::generation_owner(shard_core& core, dispatch_policy& policy)
    : core_{core}, policy_{policy}, finished_{core.settings().remember_finished,
                                              core.settings().remember_count, max_kept_text_bytes}
{
}

// -- requests -------------------------------------------------------------------------------------

state::generation_id generation_owner::next_identity() const
{
    std::uint64_t const sequence = (minted_count_ + 1) * core_.settings().shards + core_.index;
    return core_.context.signer.mint(core_.settings().self.id,
                                     core_.settings().self.incarnation_number, sequence);
}

state::generation_id generation_owner::mint()
{
    state::generation_id const id = next_identity();
    ++minted_count_;
    return id;
}

bool generation_owner::is_reserved(state::generation_id const& id) const
{
    auto const found = records_.find(id);
    return found != records_.end() && found->second->lifecycle.state() == lifecycle_state::reserved;
}

generation_record& generation_owner::add(state::generation_id const& id,
                                         state::request const& request)
{
    auto record = std::make_unique<generation_record>();
    record->id = id;
    record->request = request;
    record->received_at = core_.now;
    return *(records_[id] = std::move(record));
}

void generation_owner::add_in_flight(generation_record& record)
{
    record.counted_in_flight = true;
    core_.add_in_flight();
}

state::generation_id generation_owner::reserve(state::request const& request)
{
    state::generation_id const id = mint();
    generation_record& record = add(id, request);
    record.expires_at = core_.now + core_.settings().reservation_time;
    arm_timer(record);
    return id;
}

void generation_owner::adopt(state::generation_id const& id, state::request const& request)
{
    if (request.op == state::operation::run && find(id) == nullptr)
    {
        add(id, request);
    }
}

state::generation_id generation_owner::accept(attached_caller const& caller,
                                              state::request const& request)
{
    state::generation_id const id = mint();
    begin(add(id, request), caller, request);
    return id;
}

void generation_owner::begin(generation_record& record, attached_caller const& caller,
                             state::request const& request)
{
    static_cast<void>(record.lifecycle.apply(lifecycle_event::run));
    record.request = request;
    record.received_at = core_.now;
    record.expires_at = state::never;
    add_in_flight(record);
    bind_caller(record, caller);
    if (waiting_.size() != 0)
    {
        dispatch_queue_heads();
    }
    enqueue(record);
    dispatch(record);
}

// The lifecycle allows `run` once, so a second run of an identity finds it waiting, running or
// ended: the caller then reads the first run's tokens. Nothing is run or billed twice.
void generation_owner::run(attached_caller const& caller, state::request const& request)
{
    generation_record* record = find(request.generation);
    if (record != nullptr && !core_.enabled(safeguard::dispatch_once) &&
        record->lifecycle.state() != lifecycle_state::reserved)
    {
        end(*record, false);
        record = &add(request.generation, request);
    }
    if (record == nullptr || record->lifecycle.state() != lifecycle_state::reserved)
    {
        return attach(caller, request.generation, request);
    }
    if (authorize_caller(record->request.customer, caller, request))
    {
        begin(*record, caller, request);
    }
}

bool generation_owner::authorize_caller(state::customer_id owner, attached_caller const& caller,
                                        state::request const& request)
{
    if (owner && owner != request.customer)
    {
        core_.refuse(caller.handle, state::error_kind::not_allowed, {});
        return false;
    }
    return true;
}

void generation_owner::attach(attached_caller const& caller, state::generation_id const& id,
                              state::request const& request)
{
    if (generation_record* const record = find(id))
    {
        if (!authorize_caller(record->request.customer, caller, request))
        {
            return;
        }
        if (record->lifecycle.state() == lifecycle_state::reserved)
        {
            return core_.refuse(caller.handle, state::error_kind::unknown_generation, {});
        }
        return attach_live(*record, caller);
    }
    bool const own = id.owner == core_.settings().self.id &&
                     id.incarnation_number == core_.settings().self.incarnation_number;
    finished_generation const* const ended = own ? finished_.find(id.sequence) : nullptr;
    if (ended != nullptr && authorize_caller(ended->customer, caller, request))
    {
        return attach_finished(caller, id, *ended, request);
    }
    if (ended == nullptr)
    {
        read(caller, {id, request.upstream_hint}, request);
    }
}

void generation_owner::attach_live(generation_record& record, attached_caller const& caller)
{
    supersede_caller(record);
    bool const text_is_collected = !caller.streamed && !record.request.streamed;
    bool const stream_is_usable = text_is_collected || record.next_index == caller.next_index;
    record.request.streamed = caller.streamed;
    record.request.deadline = caller.deadline;
    bind_caller(record, caller);
    arm_timer(record);
    if (!record.lifecycle.may_be_running())
    {
        return;
    }
    if (!stream_is_usable && record.resumable())
    {
        abort_stream(record);
        record.next_index = caller.next_index;
        record.collected_text.clear();
        record.resume_attempts = 0;
        static_cast<void>(record.lifecycle.apply(lifecycle_event::lost));
        resume(record);
    }
    send_head_if_needed(record);
    arm_timer(record);
}

void generation_owner::attach_finished(attached_caller const& caller,
                                       state::generation_id const& id,
                                       finished_generation const& ended,
                                       state::request const& request)
{
    if (ended.replaced_by != 0)
    {
        auto const replacement =
            core_.context.signer.mint(id.owner, id.incarnation_number, ended.replaced_by);
        return attach(caller, replacement, request);
    }
    if (!ended.ran)
    {
        return core_.refuse(caller.handle, state::error_kind::unknown_generation, {});
    }
    if (ended.kind != state::work_kind::call)
    {
        return read(caller, {id, ended.upstream}, request);
    }
    if (!ended.text)
    {
        return core_.refuse(caller.handle, state::error_kind::may_have_run, {}, id);
    }
    if (!caller.streamed)
    {
        return core_.emit(send_finished{caller.handle, id, ended.count, *ended.text, ended.status});
    }
    core_.emit(send_head{caller.handle, id, ended.upstream});
    core_.emit(send_token{caller.handle, id, ended.upstream, 0, *ended.text});
    core_.emit(send_finished{caller.handle, id, ended.count, {}, ended.status});
}

void generation_owner::read(attached_caller const& caller, read_hint const& hint,
                            state::request const& request, bool head_sent)
{
    if (generation_record* const known = find(hint.generation))
    {
        return attach_live(*known, caller);
    }
    generation_record& record = add(hint.generation, request);
    record.read_only = true;
    record.request.streamed = caller.streamed;
    record.next_index = caller.next_index;
    static_cast<void>(record.lifecycle.apply(lifecycle_event::read));
    add_in_flight(record);
    bind_caller(record, caller);
    record.head_sent = head_sent;
    upstream_view const* const view = core_.view().find_upstream(hint.upstream);
    if (view == nullptr)
    {
        record.probing = true;
        return probe_next_upstream(record);
    }
    record.upstream = view->info.id;
    record.address = view->info.address;
    resume(record);
    send_head_if_needed(record);
    arm_timer(record);
}

void generation_owner::cancel(state::caller_handle caller, state::request const& request)
{
    state::generation_id const id = request.generation;
    generation_record* const record = find(id);
    if (record == nullptr)
    {
        finished_generation const* const ended = finished_.find(id.sequence);
        if (ended == nullptr)
        {
            return core_.refuse(caller, state::error_kind::unknown_generation, {});
        }
        return core_.emit(send_finished{caller, id, ended->count, {}});
    }
    if (!authorize_caller(record->request.customer, {caller}, request))
    {
        return;
    }
    if (record->caller)
    {
        core_.refuse(record->caller, state::error_kind::interrupted, {}, id, record->next_index);
        release_caller(*record);
    }
    core_.emit(send_finished{caller, id, record->next_index, {}});
    stop(*record);
}

void generation_owner::cancel_on_upstream(state::request const& request)
{
    upstream_view const* const view = core_.view().find_upstream(request.upstream_hint);
    if (view != nullptr)
    {
        core_.emit(cancel_generation{view->info.id, view->info.address, request.generation});
    }
}

} // namespace plumdale::coordination
