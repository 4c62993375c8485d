#include <plumdale/coordination/fleet_snapshot.hpp>

#include <openssl/crypto.h>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

// Compares every account, also after a match, so that the time taken reveals nothing of the key.
template <class Account>
Account const* find_key(std::vector<Account> const& accounts, state::sha256_digest Account::*digest,
                        state::sha256_digest const& wanted) noexcept
{
    Account const* match = nullptr;
    for (Account const& each : accounts)
    {
        if (CRYPTO_memcmp((each.*digest).data(), wanted.data(), wanted.size()) == 0)
        {
            match = &each;
        }
    }
    return match;
}

} // namespace

std::span<upstream_view const> fleet_snapshot::upstreams_of(state::model_id model) const noexcept
{
    auto const first = std::lower_bound(upstreams.begin(), upstreams.end(), model,
                                        [](upstream_view const& view, state::model_id wanted)
                                        { return view.info.model < wanted; });
    auto const last = std::upper_bound(first, upstreams.end(), model,
                                       [](state::model_id wanted, upstream_view const& view)
                                       { return wanted < view.info.model; });
    return {first, last};
}

upstream_view const* fleet_snapshot::find_upstream(state::upstream_id id) const noexcept
{
    auto const found = std::find_if(upstreams.begin(), upstreams.end(),
                                    [id](upstream_view const& view) { return view.info.id == id; });
    return found == upstreams.end() ? nullptr : &*found;
}

state::customer const* fleet_snapshot::find_customer(state::sha256_digest const& key) const noexcept
{
    return find_key(customers, &state::customer::api_key, key);
}

state::operator_account const*
fleet_snapshot::find_operator(state::sha256_digest const& key) const noexcept
{
    return find_key(operators, &state::operator_account::key, key);
}

state::member const* fleet_snapshot::find_member(state::node_id id) const noexcept
{
    auto const found = std::find_if(members.begin(), members.end(),
                                    [id](state::member const& each) { return each.id == id; });
    return found == members.end() ? nullptr : &*found;
}

} // namespace plumdale::coordination
