#pragma once

#include <plumdale/state/generation_id.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Minting and checking of generation identities.

namespace plumdale::coordination
{

/// \brief Signs identities with the fleet key. Safe to use from several threads.
///
/// Example: `identity_signer signer{key}; auto id = signer.mint(node, incarnation, 7);`
class identity_signer
{
public:
    /// \brief Signs with `fleet_key`; identities made with one of `accepted_keys` are genuine as
    /// well, so that the key can be changed while callers hold identities.
    explicit identity_signer(std::string_view fleet_key,
                             std::span<std::string const> accepted_keys = {});

    /// \brief Returns a signed identity.
    [[nodiscard]] state::generation_id
    mint(state::node_id owner, state::incarnation incarnation_number, std::uint64_t sequence) const;
    /// \brief Returns whether the MAC matches the other fields; the comparison takes constant time.
    [[nodiscard]] bool verify(state::generation_id const& id) const;

private:
    std::string fleet_key_;
    std::vector<std::string> accepted_keys_;
};

} // namespace plumdale::coordination
