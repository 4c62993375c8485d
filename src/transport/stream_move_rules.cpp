#include "boot_clock.hpp"
#include "stream_call.hpp"

#include <utility>

// What the move of a stream's generation needs here: upstreams that take it, repeats, addresses.
// stream_failover.cpp carries the move out.

namespace plumdale::transport
{
namespace
{

using namespace coordination;

// A stopped run is lost with the repeats that it may need, and one may be refused.
constexpr std::size_t repeats_of_move = 2;

} // namespace

move_rules stream_call::make_move_rules()
{
    move_rules rules;
    rules.select_destination =
        [this](state::member_key source, std::span<state::member_key const> excluded)
    {
        return choose_destination(source, excluded);
    };
    rules.any_destination = [this](state::member_key source)
    {
        return any_destination(source);
    };
    rules.may_resume_at = [this](state::member_key member)
    {
        directory_entry const* const entry = core_.directory.find(member);
        return entry != nullptr && core_.gate.may_resume(*entry, boot_now());
    };
    rules.takes_runs = [this](state::member_key member)
    {
        directory_entry const* const entry = core_.directory.find(member);
        return entry != nullptr && core_.directory.may_take_work(*entry, boot_now());
    };
    rules.has_left = [this](state::member_key member)
    {
        directory_entry const* const entry = core_.directory.find(member);
        return entry == nullptr || entry->info.leaving || !entry->info.listed;
    };
    rules.reserve_resumption = [this](bool is_urgent)
    {
        return reserve_resumption(is_urgent ? 1 : repeats_of_move);
    };
    if (admitted_.service->engine)
    {
        rules.memory_lifetime = admitted_.service->engine->copy_lifetime;
    }
    return rules;
}

bool stream_call::reserve_resumption(std::size_t repeats)
{
    bool const may_go_on = progress_.is_resumable() && !is_quarantined();
    bool const is_reserved = may_go_on && reserve_repeats(repeats, retry_priority::preferred);
    if (!is_reserved && !std::exchange(has_noted_stop_waits_, true))
    {
        log("stop waits", may_go_on ? "no repeat left" : "it could not go on");
    }
    return is_reserved;
}

std::optional<state::endpoint> stream_call::address_of(state::member_key member) const
{
    if (directory_entry const* const entry = core_.directory.find(member))
    {
        return entry->info.address;
    }
    auto const known = addresses_.find(member);
    return known == addresses_.end() ? std::nullopt : std::optional{known->second};
}

void stream_call::remember_address(state::member_key member)
{
    if (auto const address = member == member_ ? address_ : address_of(member))
    {
        addresses_[member] = *address;
    }
}

} // namespace plumdale::transport
