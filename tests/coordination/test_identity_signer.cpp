#include <plumdale/coordination/identity_signer.hpp>

#include <catch2/catch.hpp>

using namespace plumdale;
using namespace plumdale::coordination;

// Guards against rejected identities when the fleet's key is changed: each VM restarts with the new
// key and still accepts the old one, so identities that callers hold stay valid until it is
// removed.
TEST_CASE("an identity stays valid when the fleet's key is changed", "[identity_signer]")
{
    std::string const old_key = "an example fleet key";
    state::generation_id const id = identity_signer{old_key}.mint({1}, {2}, 3);
    std::vector<std::string> const accepted{old_key};
    CHECK(identity_signer{"another fleet key", accepted}.verify(id));
    CHECK_FALSE(identity_signer{"another fleet key"}.verify(id));
}

TEST_CASE("a signed identity verifies, and a changed one does not", "[identity_signer]")
{
    identity_signer const signer{"an example fleet key"};
    state::generation_id id = signer.mint(state::node_id{1}, state::incarnation{2}, 3);
    CHECK(signer.verify(id));
    id.sequence = 4;
    CHECK_FALSE(signer.verify(id));
    CHECK_FALSE(identity_signer{"another fleet key"}.verify(signer.mint({1}, {2}, 3)));
}
