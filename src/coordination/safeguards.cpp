#include <plumdale/coordination/safeguards.hpp>

#include <algorithm>
#include <array>

namespace plumdale::coordination
{
namespace
{

constexpr std::array<std::string_view, safeguard_count> names{
    "identity_mac",       "single_owner",      "dispatch_once",      "identity_per_start",
    "key_home",           "key_doubt",         "key_takeover",       "token_identity",
    "token_index",        "restart_unsent",    "restart_repeatable", "truthful_refusal",
    "silence_resume",     "pause_recheck",     "single_caller",      "detached_finish",
    "deadline_answer",    "slow_reader_bound", "drain_waits",        "stamp_join",
    "catch_up",           "acceptance_count",  "outage_switch",      "leaving_mark",
    "member_incarnation", "suspicion",         "datagram_mac",       "order_fence",
    "order_readback",
};
static_assert(!names.back().empty());

} // namespace

std::string_view safeguard_name(safeguard which) noexcept
{
    return names[static_cast<std::size_t>(which)];
}

safeguard safeguard_from_name(std::string_view name) noexcept
{
    auto const found = std::find(names.begin(), names.end(), name);
    return static_cast<safeguard>(found - names.begin());
}

} // namespace plumdale::coordination
