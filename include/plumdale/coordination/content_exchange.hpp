#pragma once

#include <plumdale/coordination/content_store.hpp>
#include <plumdale/coordination/control_actions.hpp>
#include <plumdale/coordination/control_events.hpp>
#include <plumdale/coordination/peer_message.hpp>
#include <plumdale/coordination/update_queue.hpp>
#include <plumdale/state/member.hpp>

#include <map>

/// \file
/// \brief Which configuration values are fetched from which peer.

namespace plumdale::coordination
{

/// \brief Names what is held to peers and fetches what they hold that is newer, from a peer of the
/// own zone where there is one.
class content_exchange
{
public:
    content_exchange(content_store const& store, state::member const& self)
        : store_{store}, self_{self}
    {
    }

    /// \brief Notes what the sender holds. `fetches_for_zone` says whether this node is the one of
    /// its zone that fetches a key from another zone.
    template <class Responsible>
    void receive(peer_message const& message, Responsible&& fetches_for_zone, state::time_point now)
    {
        for (state::content_ref const& ref : message.content)
        {
            note(ref, message.sender, fetches_for_zone(ref.key), now);
        }
    }
    /// \brief A new version is held: it is announced, and nothing older is fetched any more.
    void announce(state::content_ref const& ref, std::size_t fleet_size);
    void unavailable(content_unavailable const& event, state::time_point now);
    /// \brief Answers a peer that asks for a value.
    void serve(content_requested const& event, control_actions& actions) const;
    /// \brief Fetches what is due.
    void advance(state::time_point now, control_actions& actions);
    /// \brief Adds names to a message: news first, and others when `differs` says that the
    /// receiver holds something else.
    void piggyback(peer_message& message, bool differs);

    [[nodiscard]] state::time_point next_deadline() const noexcept;

private:
    struct pending_fetch
    {
        state::content_ref ref;
        state::node_id peer;
        state::endpoint streams;
        bool in_own_zone = false;
        state::time_point due{};
    };

    void note(state::content_ref const& ref, state::member const& holder, bool fetches_for_zone,
              state::time_point now);

    content_store const& store_;
    state::member const& self_;
    std::map<state::content_key, pending_fetch> pending_fetches_;
    update_queue<state::content_key> updates_;
    std::size_t next_index_ = 0;
};

} // namespace plumdale::coordination
