#include "boot_clock.hpp"
#include "stream_call.hpp"

#include <plumdale/coordination/generation_backup.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

// Where the memory of a stream's generation is kept and goes: its backup, and the times and places
// of copies; stream_failover.cpp has them made, and has the generation go on.

namespace plumdale::transport
{

using namespace coordination;

// -- what is left of it ---------------------------------------------------------------------------

// The caller's hint is right at the median. An answer that exceeds it is expected to continue for
// half of its length so far: lengths vary by more than their mean.
std::uint32_t stream_call::expected_remaining_tokens() const
{
    std::uint32_t const generated_tokens = tokens_held() - admitted_.demand.prompt_tokens;
    std::uint32_t const hinted_tokens = admitted_.demand.output_tokens;
    return std::max(hinted_tokens > generated_tokens ? hinted_tokens - generated_tokens : 0U,
                    generated_tokens / 2);
}

state::duration stream_call::expected_remaining_time(state::time_point now) const
{
    std::uint32_t const generated_tokens = tokens_held() - admitted_.demand.prompt_tokens;
    state::duration const token_time =
        generated_tokens == 0
            ? default_token_time
            : (now - first_event_at_) / static_cast<std::int64_t>(generated_tokens);
    // The first events may arrive together, and a pause between two upstreams is not the token
    // rate.
    return static_cast<std::int64_t>(expected_remaining_tokens()) *
           std::clamp<state::duration>(token_time, default_token_time / 2, 4 * default_token_time);
}

// -- backups --------------------------------------------------------------------------------------

std::optional<std::string> stream_call::request()
{
    choose_backup();
    nominal_first_event_ =
        core_.selector.pace().reading_time(core_.ledger.total(member_).pending_prefill_tokens);
    std::optional<std::string> text = forward_call::request();
    attempts_.resumptions_sent += text && resuming_ ? 1 : 0;
    return text;
}

void stream_call::choose_backup()
{
    drop_backup();
    state::service const& service = *admitted_.service;
    bool const wanted = service.engine && service.engine->backups &&
                        should_back_up(admitted_.demand.output_tokens,
                                       core_.selector.mean_fullness(service, boot_now()));
    if (!wanted)
    {
        return;
    }
    directory_entry const* const source = core_.directory.find(member_);
    std::array<state::member_key, 1> const excluded{member_};
    call_demand const demand{tokens_held(), admitted_.demand.output_tokens,
                             admitted_.demand.max_gap};
    selection_options const options{
        source == nullptr ? core_.selector.own_zone() : source->info.zone, excluded};
    auto const chosen = core_.selector.choose(service, demand, options, boot_now());
    bool const fits = chosen && has_capacity_for_backup(chosen->fullness) &&
                      !core_.selector.is_doubtful(chosen->member, boot_now());
    if (!fits)
    {
        return;
    }
    backup_address_ = core_.directory.find(chosen->member)->info.address;
    backup_load_ = {chosen->member, 1, load_.tokens, load_.tokens_at_end, 0};
    core_.ledger.add(backup_load_.member, backup_load_);
}

// The backup is used from the first event on, unless its upstream left before.
void stream_call::note_backup()
{
    if (backup_load_.calls != 0)
    {
        failover().set_backup(backup_load_.member);
    }
}

void stream_call::drop_backup()
{
    backup_address_.reset();
    drop_load(backup_load_);
}

// -- departures -----------------------------------------------------------------------------------

void stream_call::check_departure()
{
    if (departure const* const when = core_.departures.find(member_))
    {
        on_member_leaving(member_, departure{*when});
    }
}

std::optional<state::member_key>
stream_call::choose_destination(state::member_key source,
                                std::span<state::member_key const> excluded)
{
    directory_entry const* const entry = core_.directory.find(source);
    call_demand const demand{load_.tokens, admitted_.demand.output_tokens,
                             admitted_.demand.max_gap};
    selection_options const options{entry == nullptr ? core_.selector.own_zone() : entry->info.zone,
                                    excluded, other_zone_destination_penalty};
    departure const* const when = core_.departures.find(source);
    if (fits_copies() && when != nullptr)
    {
        return choose_fitting_destination(*when, options);
    }
    auto const chosen = core_.selector.choose(*admitted_.service, demand, options, boot_now());
    bool const fits = chosen && !core_.selector.is_doubtful(chosen->member, boot_now());
    return fits ? std::optional{chosen->member} : std::nullopt;
}

std::optional<state::member_key> stream_call::any_destination(state::member_key source) const
{
    state::time_point const now = boot_now();
    std::array<state::member_key, 1> const excluded{source};
    selection_options const options{core_.selector.own_zone(), excluded};
    call_demand const demand{load_.tokens, admitted_.demand.output_tokens,
                             admitted_.demand.max_gap};
    if (auto const chosen = core_.selector.choose(*admitted_.service, demand, options, now))
    {
        return chosen->member;
    }
    for (state::member_key const each : core_.directory.members_of(admitted_.service->name))
    {
        directory_entry const* const entry = core_.directory.find(each);
        if (each != source && entry != nullptr && core_.directory.may_take_work(*entry, now))
        {
            return each;
        }
    }
    return std::nullopt;
}

bool stream_call::fits_copies() const noexcept
{
    return core_.parts.is_on(load_part::fitted_copies);
}

copy_request stream_call::make_copy_request(departure const& when, state::time_point now) const
{
    return {tokens_held(), expected_remaining_tokens(), latest_departure_time(when) - now};
}

std::optional<first_copy_times>
stream_call::first_copy_turn(departure const& when, member_load const& fleet, state::time_point now)
{
    if (!fits_copies())
    {
        return std::nullopt;
    }
    state::engine_limits const& engine = *admitted_.service->engine;
    copy_request copy = make_copy_request(when, now);
    state::time_point const until =
        latest_departure_time(when) - copy_duration(engine, copy.tokens, false);
    // Before the departure time is known, a turn must not cost a copy that the shortest notice
    // allows.
    copy.time_left = departure_time(when) - now;
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    state::duration const turn =
        copy_turn(copy, {fleet.tokens, fleet.calls}, engine, uniform(core_.random));
    return first_copy_times{now + turn, until};
}

std::optional<state::member_key>
stream_call::choose_fitting_destination(departure const& when, selection_options const& options)
{
    state::time_point const now = boot_now();
    copy_choice const choice = core_.selector.choose_for_copy(
        *admitted_.service, make_copy_request(when, now), options, now);
    if (!choice.member)
    {
        note_no_destination(choice.reachable);
    }
    return choice.member;
}

void stream_call::note_no_destination(std::size_t reachable)
{
    if (std::exchange(has_noted_no_destination_, true))
    {
        return;
    }
    core_.metrics.add(forward_count::copies_unfitted);
    core_.log.write("call", "no destination for a copy", admitted_.headers.id,
                    {{"because", reachable == 0 ? "none reachable" : "none fits"},
                     {"reachable", static_cast<std::int64_t>(reachable)},
                     {"tokens", tokens_held()}});
}

} // namespace plumdale::transport
