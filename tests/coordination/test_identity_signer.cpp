#include <plumdale/coordination/identity_signer.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;

// The fleet's key is changed while a caller holds an identity. Each VM is restarted with the new
// key and the old one among those it accepts; the caller's identity stays genuine until the old key
// goes.
TEST_CASE("an identity outlives a change of the fleet's key", "[identity]")
{
    std::string const old_key = "an example fleet key";
    state::generation_id const id = identity_signer{old_key}.mint({1}, {2}, 3);
    std::vector<std::string> const accepted{old_key};
    CHECK(identity_signer{"another fleet key", accepted}.verify(id));
    CHECK_FALSE(identity_signer{"another fleet key"}.verify(id));
}

TEST_CASE("a signed identity verifies, and a changed one does not", "[identity]")
{
    identity_signer const signer{"an example fleet key"};
    state::generation_id id = signer.mint(state::node_id{1}, state::incarnation{2}, 3);
    CHECK(signer.verify(id));
    id.sequence = 4;
    CHECK_FALSE(signer.verify(id));
    CHECK_FALSE(identity_signer{"another fleet key"}.verify(signer.mint({1}, {2}, 3)));
}
