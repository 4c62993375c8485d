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

/// \brief Announces the values held here to peers and fetches their newer ones, from a peer of the
/// own zone if one has them.
class content_exchange
{
public:
    content_exchange(content_store const& store, state::member const& self)
        : store_{store}, self_{self}
    {
    }

    /// \brief Records which values the sender holds. `fetches_for_zone` returns whether this node
    /// is the one of its zone that fetches a key from another zone.
    template <class Responsible>
    void receive(peer_message const& message, Responsible&& fetches_for_zone, state::time_point now)
    {
        for (state::content_ref const& ref : message.content)
        {
            note(ref, message.sender, fetches_for_zone(ref.key), now);
        }
    }
    /// \brief Announces a new version that is held, and cancels the fetch of it or an older one.
    void announce(state::content_ref const& ref, std::size_t fleet_size);
    void unavailable(content_unavailable const& event, state::time_point now);
    /// \brief Answers a peer's request for a value.
    void serve(content_requested const& event, control_actions& actions) const;
    /// \brief Requests the values whose fetch is due.
    void advance(state::time_point now, control_actions& actions);
    /// \brief Adds references to a message: those of new versions first, and others if `differs`
    /// says that the receiver holds other versions.
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
