#include <plumdale/coordination/identity_signer.hpp>

#include <cstdio>

/// \file
/// \brief Signs an identity, and verifies it and a guessed one on another VM of the fleet.

using namespace plumdale;

int main()
{
    coordination::identity_signer const owner{"an example fleet key"};
    coordination::identity_signer const peer{"an example fleet key"};

    state::generation_id const id = owner.mint(state::node_id{1}, state::incarnation{7}, 42);
    state::generation_id guessed = id;
    ++guessed.sequence;

    std::printf("genuine: %s\n", peer.verify(id) ? "yes" : "no");
    std::printf("guessed: %s\n", peer.verify(guessed) ? "yes" : "no");
    return peer.verify(id) && !peer.verify(guessed) ? 0 : 1;
}
