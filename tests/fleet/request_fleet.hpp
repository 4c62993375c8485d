#pragma once

#include <plumdale/coordination/identity_signer.hpp>
#include <plumdale/coordination/least_in_flight.hpp>
#include <plumdale/coordination/request_shard.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Several request shards, fake engines and callers in one loop over a queue of events.

namespace plumdale::test
{

using namespace coordination;
using namespace std::chrono_literals;
using state::duration;
using state::time_point;

/// \brief A queue of events in virtual time.
class event_loop
{
public:
    void after(duration wait, std::function<void()> callback)
    {
        events_.push({now_ + wait, ++count_, std::move(callback)});
    }
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().at <= end)
        {
            item next = events_.top();
            events_.pop();
            now_ = next.at;
            next.callback();
        }
        now_ = end;
    }
    [[nodiscard]] time_point now() const
    {
        return now_;
    }

private:
    struct item
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> callback;
        bool operator<(item const& other) const
        {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };
    std::priority_queue<item> events_;
    time_point now_{1h};
    std::uint64_t count_ = 0;
};

/// \brief One run on an engine, as the engine saw it.
struct engine_run
{
    std::size_t engine;
    state::generation_id id;
    std::string request;        ///< The body, which names the caller's request.
    std::string const* attempt; ///< The body's address, which identifies the attempt.
    time_point started;
    std::uint32_t length = 0;
    std::uint32_t generated = 0;
    bool stopped = false;
};

struct fake_stream
{
    std::size_t node;
    state::stream_handle handle;
    std::size_t run;
    std::uint32_t next;
    bool paused = false;
};

struct fake_engine
{
    bool alive = true;
    bool refuses = false;
    bool stalled = false; ///< Generates no token.
    time_point leaving_since = state::never;
    std::vector<fake_stream> streams;
    std::map<state::generation_id, std::size_t> runs; ///< Latest run of each identity.
    std::set<std::pair<std::size_t, state::stream_handle>> silent;
};

/// \brief Probabilities of wrong tokens on a stream: repeated, of another run, or left out.
struct wire_faults
{
    double duplicate = 0;
    double foreign = 0;
    double skipped = 0;
};

class request_fleet;

/// \brief Interface of a test's callers: receives every action that is addressed to a caller.
class caller_observer
{
public:
    caller_observer() = default;
    caller_observer(caller_observer const&) = delete;
    caller_observer& operator=(caller_observer const&) = delete;
    virtual ~caller_observer() = default;
    virtual void head(state::caller_handle caller, send_head const& head) = 0;
    virtual void token(state::caller_handle caller, send_token const& token) = 0;
    virtual void finished(state::caller_handle caller, send_finished const& end) = 0;
    virtual void refused(state::caller_handle caller, send_refused const& end) = 0;
    virtual void disconnected(state::caller_handle caller) = 0;
};

/// \brief The request side of one entry VM, with a delayed view of the fleet.
struct fake_node
{
    node_settings settings;
    std::unique_ptr<identity_signer> signer;
    std::unique_ptr<published<fleet_snapshot>> fleet;
    std::unique_ptr<std::atomic<std::uint32_t>> in_flight;
    std::unique_ptr<request_shard> shard;
    fleet_snapshot view;
    std::map<std::size_t, time_point> last_contact;
    std::set<state::caller_handle> callers;
    std::vector<request_event> inbox;
    time_point timer = state::never;
    std::uint64_t life = 0; ///< Counts starts; events of an earlier start are dropped.
    std::size_t zone = 0;
    bool alive = false;
    bool paused = false;
    bool draining = false;
    bool closed = false; ///< Accepts no new connections.
};

/// \brief The nodes, engines and links. Only `cut_zone` is unreachable from the other zones.
class request_fleet
{
public:
    struct shape
    {
        std::size_t nodes = 4;
        std::size_t engines = 4;
        std::size_t zones = 2;
        safeguard_set safeguards;
        duration key_window = 60s;
        duration token_gap = 20ms;
    };

    request_fleet(shape const& initial_shape, std::uint64_t seed, caller_observer& callers)
        : random{seed}, shape_{initial_shape}, callers_{callers}
    {
        customer.id = state::id_from_name<state::customer_id>("frescura");
        customer.name = "frescura";
        nodes.resize(initial_shape.nodes);
        engines.resize(initial_shape.engines);
        for (std::size_t i = 0; i < initial_shape.nodes; ++i)
        {
            nodes[i].zone = i % initial_shape.zones;
            start_node(i);
        }
    }

    // -- faults ------------------------------------------------------------------------------

    void start_node(std::size_t which);

    void stop_node(std::size_t which);

    /// \brief Drains a node and stops it when nothing is in flight.
    void drain_node(std::size_t which);

    void wake_node(std::size_t which);

    void stop_engine(std::size_t which);

    /// \brief Silences every open connection of an engine; new connections work.
    void silence_engine(std::size_t which);

    [[nodiscard]] bool reaches(std::size_t a, std::size_t b) const;

    [[nodiscard]] bool reaches_engine(std::size_t node, std::size_t engine) const;

    // -- callers -----------------------------------------------------------------------------

    /// \brief Sends a request; returns an empty handle if the node accepts no connection.
    state::caller_handle send(std::size_t node, state::request request);

    void disconnect(std::size_t node, state::caller_handle caller);

    duration delay();

    // -- events and state -------------------------------------------------------------------

    void post_to_node(std::size_t which, request_event event);

    void handle(std::size_t which, request_event const& event);

    event_loop loop;
    std::mt19937_64 random;
    std::vector<fake_node> nodes;
    std::vector<fake_engine> engines;
    std::vector<engine_run> runs;
    state::customer customer;
    state::model_id model = state::id_from_name<state::model_id>("lists");
    wire_faults wire;
    std::optional<std::size_t> cut_zone;
    bool upstream_list_frozen = false; ///< The platform's list no longer changes.
    duration upstream_list_lag{};
    std::vector<std::string> engine_violations; ///< Requests that engines must not receive.

private:
    void await_drain(std::size_t which, std::uint64_t life);

    void arm_timer(std::size_t which);

    // -- a node's delayed view of members and upstreams -------------------------------------

    void refresh_view(std::size_t which, std::uint64_t life);

    void publish_view(std::size_t which);

    state::member observed_member(std::size_t which, std::size_t other,
                                  std::vector<state::member> const& known);

    void update_upstream_views(fake_node& node);

    // -- engines -----------------------------------------------------------------------------

    void carry_out(std::size_t which, open_stream const& open);

    void open_on_engine(std::size_t which, std::size_t at, open_stream const& open,
                        std::uint64_t life);

    void generate_tokens(std::size_t which);

    /// \brief Sends the tokens that a stream has not received yet, in order.
    void send_pending_tokens(std::size_t at, std::size_t index);

    [[nodiscard]] bool chance(double share);

    /// \brief Returns a text of request, run and index, so that a caller can check all three.
    [[nodiscard]] std::string token_text(std::size_t run, std::uint32_t index) const;

    void deliver_in_order(std::size_t which, request_event event);

    void carry_out(std::size_t which, close_stream const& close);

    void carry_out(std::size_t which, cancel_generation const& cancel);

    void carry_out(std::size_t which, pause_stream const& pause);

    void carry_out(std::size_t which, continue_stream const& more);

    void set_paused(std::size_t which, state::stream_handle handle, bool paused);

    // -- relays ------------------------------------------------------------------------------

    void carry_out(std::size_t which, relay_request const& relay);

    void carry_out(std::size_t which, close_relay const& close);

    /// \brief Passes an action to its caller, or to the peer that forwards the caller's request.
    template <class Event, class Action, class Notify>
    void deliver_to_caller(std::size_t which, Action const& action, Event event, Notify notify,
                           bool last)
    {
        auto const relay = relays_.find(action.caller);
        if (relay == relays_.end())
        {
            // The caller's handle is looked up first, because the notified caller may disconnect.
            bool const present = nodes[which].callers.contains(action.caller);
            if (last)
            {
                nodes[which].callers.erase(action.caller);
            }
            return present ? (callers_.*notify)(action.caller, action) : void();
        }
        auto const [from, original] = relay->second;
        if (last)
        {
            relays_.erase(relay);
            nodes[which].callers.erase(action.caller);
        }
        if (reaches(which, from))
        {
            event.caller = original;
            deliver_in_order(from, std::move(event));
        }
    }

    void carry_out(std::size_t which, send_head const& head);

    void carry_out(std::size_t which, send_token const& token);

    void carry_out(std::size_t which, send_finished const& end);

    void carry_out(std::size_t which, send_refused const& end);

    shape shape_;
    caller_observer& callers_;
    std::map<state::caller_handle, std::pair<std::size_t, state::caller_handle>> relays_;
    std::uint64_t handles_ = 0;
};

} // namespace plumdale::test
