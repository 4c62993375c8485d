#include <plumdale/state/error_kind.hpp>

#include <algorithm>
#include <array>

namespace plumdale::state
{
namespace
{

constexpr std::size_t kind_count = static_cast<std::size_t>(error_kind::count);
using enum run_claim;

constexpr std::array<error_answer, kind_count> table{{
    {error_kind::invalid_request, "invalid_request", 400, not_run, false, 2,
     "The request is malformed."},
    {error_kind::request_too_large, "request_too_large", 413, not_run, false, 2,
     "The request is too large."},
    {error_kind::unauthenticated, "unauthenticated", 401, not_run, false, 3,
     "The API key is missing or unknown."},
    {error_kind::not_allowed, "not_allowed", 403, not_run, false, 3,
     "This is not allowed with this key."},
    {error_kind::unknown_model, "unknown_model", 404, not_run, false, 4,
     "No such model or service is configured."},
    {error_kind::unknown_preset, "unknown_preset", 404, no_claim, false, 4,
     "No such preset is published."},
    {error_kind::unknown_generation, "unknown_generation", 404, no_claim, false, 4,
     "No such generation is known here any more."},
    {error_kind::over_customer_limit, "over_customer_limit", 429, not_run, true, 5,
     "The customer's limit is reached."},
    {error_kind::overloaded, "overloaded", 503, not_run, true, 5,
     "There is no room on the engines."},
    {error_kind::no_upstream, "no_upstream", 503, not_run, true, 6,
     "No engine or service for this can be reached."},
    {error_kind::quarantined, "quarantined", 503, not_run, true, 6,
     "Upstreams ended while they ran this request."},
    {error_kind::draining, "draining", 503, not_run, true, 6, "This entry VM is shutting down."},
    {error_kind::not_ready, "not_ready", 503, not_run, true, 6,
     "This entry VM has no configuration yet."},
    {error_kind::peer_declined, "peer_declined", 503, not_run, true, 6,
     "This entry VM takes no call of its peers now."},
    {error_kind::peer_out_of_step, "peer_out_of_step", 503, not_run, true, 6,
     "This entry VM follows another configuration than the peer that asks."},
    {error_kind::peer_at_capacity, "peer_at_capacity", 503, not_run, true, 6,
     "This entry VM has used up its shares of upstreams for a moment."},
    {error_kind::key_in_doubt, "key_in_doubt", 409, not_run, true, 7,
     "This attempt was not run; an earlier one under this key may have been."},
    {error_kind::key_in_use, "key_in_use", 409, not_run, false, 7,
     "This attempt was not run; the key already has a generation."},
    {error_kind::owner_unreachable, "owner_unreachable", 503, not_run, true, 6,
     "The owner of this generation can't be reached; nothing was sent to it."},
    {error_kind::deadline_not_run, "deadline_not_run", 504, not_run, true, 5,
     "The deadline would pass before it could run."},
    {error_kind::may_have_run, "may_have_run", 502, may_have_run, false, 8,
     "The request may have run."},
    {error_kind::interrupted, "interrupted", 502, interrupted, true, 9,
     "The answer broke off; attach again by identity."},
    {error_kind::superseded, "superseded", 409, interrupted, false, 9,
     "Another caller attached to this generation."},
    {error_kind::upstream_fault, "upstream_fault", 502, may_have_run, false, 8,
     "The upstream failed or sent something invalid."},
    {error_kind::not_accepted, "not_accepted", 409, no_claim, true, 10,
     "The switch is not held by enough entry VMs."},
    {error_kind::settings_invalid, "settings_invalid", 400, no_claim, false, 11,
     "The settings are invalid."},
    {error_kind::connection_failed, "connection_failed", 502, no_claim, false, 12,
     "The connection failed."},
    {error_kind::connection_refused, "connection_refused", 502, no_claim, false, 12,
     "Nothing listens at the address."},
    {error_kind::internal, "internal", 500, may_have_run, false, 13, "Internal error."},
}};

constexpr bool rows_match_kinds()
{
    for (std::size_t i = 0; i < kind_count; ++i)
    {
        if (static_cast<std::size_t>(table[i].kind) != i)
        {
            return false;
        }
    }
    return true;
}
static_assert(rows_match_kinds());

} // namespace

error_answer const& answer_for(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

error_answer const* find_answer(std::string_view name) noexcept
{
    auto const found = std::find_if(table.begin(), table.end(),
                                    [name](error_answer const& row) { return row.name == name; });
    return found == table.end() ? nullptr : &*found;
}

std::span<error_answer const> error_table() noexcept
{
    return table;
}

std::string_view claim_name(run_claim claim) noexcept
{
    static constexpr std::array<std::string_view, 4> names{"not_run", "may_have_run", "interrupted",
                                                           "no_claim"};
    return names[static_cast<std::size_t>(claim)];
}

} // namespace plumdale::state
