#include "boot_clock.hpp"
#include "forward_call.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/generation_text.hpp>
#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <span>
#include <string>

// Log lines of a call.

namespace plumdale::transport
{

namespace
{

constexpr std::size_t max_logged_parts = 8;

std::string to_text(std::span<state::prompt_part const> parts)
{
    std::string text;
    for (state::prompt_part const part : parts.first(std::min(parts.size(), max_logged_parts)))
    {
        text.append(text.empty() ? "" : ",").append(protocol::to_hex(part.value));
    }
    return text;
}

} // namespace

std::string_view forward_call::member_name() const
{
    return name_of(member_);
}

std::string_view forward_call::name_of(state::member_key member) const
{
    coordination::directory_entry const* const entry = core_.directory.find(member);
    return entry == nullptr ? std::string_view{} : std::string_view{entry->info.name};
}

std::string forward_call::shared_parts_text() const
{
    return to_text(admitted_.headers.shared_parts);
}

void forward_call::log(std::string_view decision, std::string_view why, std::string_view error)
{
    state::time_point const now = boot_now();
    coordination::directory_entry const* const entry = core_.directory.find(member_);
    auto const running_since = runs_since();
    core_.log.write(
        "call", decision, admitted_.headers.id,
        {{"why", why},
         {"request", protocol::to_hex(admitted_.request.value)},
         {"parts", shared_parts_text()},
         {"writing_ms", running_since ? whole_milliseconds(now - *running_since) : -1},
         {"route", admitted_.route->name},
         {"configuration", static_cast<std::int64_t>(admitted_.table->configuration().version)},
         {"upstream", member_name()},
         {"listed_revision",
          entry == nullptr ? 0
                           : static_cast<std::int64_t>(state::revision_in(entry->info.revision))},
         {"platform_age_ms", whole_milliseconds(core_.platform_age(now))},
         {"best", name_of(best_.member)},
         {"looked_at", static_cast<std::int64_t>(best_.candidates_examined)},
         {"limit", coordination::limit_name(blocking_limit_)},
         {"fullness_percent", static_cast<std::int64_t>(100.0 * best_.fullness)},
         {"expected_first_event_ms", whole_milliseconds(best_.time_to_first_event)},
         {"zones_evacuated",
          static_cast<std::int64_t>(core_.directory.evacuations().known().in_force.size())},
         {"cold", is_cold_ ? 1 : 0},
         {"rank", rank()},
         {"calls_before", static_cast<std::int64_t>(calls_before_)},
         {"expected_wait_ms", whole_milliseconds(expected_wait_)},
         {"prompt_tokens", admitted_.demand.prompt_tokens},
         {"hinted_tokens", admitted_.demand.output_tokens},
         {"sends", sends_.written()},
         {"may_have_run", sends_.possible_runs()},
         {"send_ended", last_end_ ? to_text(*last_end_) : std::string_view{}},
         {"framing", has_head_ ? protocol::to_text(framing_) : std::string_view{}},
         {"answer_id", has_head_ ? std::string_view{answer_.id} : std::string_view{}},
         {"proof", coordination::to_text(sends_.newest_proof())},
         {"error", error},
         {"upstreams_ended",
          static_cast<std::int64_t>(
              core_.quarantine.known().requests.ended_upstream_count(admitted_.request))},
         {"stated_limit_per_minute", per_minute(answer_.statement.request_limit)},
         {"known_limit_per_minute", per_minute(core_.limits.known().limit_of(member_))},
         {"stated_refusals_per_minute", per_minute(answer_.statement.refusal_limit)},
         {"known_refusals_per_minute", per_minute(core_.refusal_limits.known().limit_of(member_))},
         {"stated_leaving", answer_.statement.leaves ? 1 : 0},
         {"known_leaving", entry != nullptr && entry->info.leaving ? 1 : 0},
         {"stated_backoff_ms",
          whole_milliseconds(answer_.statement.retry_after.value_or(state::duration{}))},
         {"known_backoff_ms", whole_milliseconds(core_.backoffs.left(member_, now))},
         {"connection_failure", to_text(connection_failure_)},
         {"status", has_head_ ? static_cast<std::int64_t>(head_.status) : 0},
         {"age_ms", whole_milliseconds(now - admitted_.call.read_at)},
         {"left_ms", whole_milliseconds(admitted_.deadline - now)}});
}

} // namespace plumdale::transport
