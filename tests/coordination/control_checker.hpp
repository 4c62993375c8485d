#pragma once

#include "fleet_values.hpp"

/// \file
/// \brief Checks what the nodes of a fleet have in force, offer and answer.

namespace plumdale::testing
{

/// \brief Violations by kind; all zero when every guarantee held.
struct violations
{
    std::size_t reverts = 0; ///< A node reverted to an older switch.
    std::size_t served_old =
        0; ///< A returning node served under a preset that all others had left.
    std::size_t lost_switches = 0;     ///< An accepted switch was not in force in the end.
    std::size_t divergence = 0;        ///< Nodes that disagreed, or did not serve, after the heal.
    std::size_t leaving_offered = 0;   ///< A leaving upstream was offered again.
    std::size_t late_marks = 0;        ///< A mark took over 2 s to reach a connected node.
    std::size_t members_not_alive = 0; ///< Members that were not seen alive after the heal.
    std::size_t missing_or_repeated_answers =
        0;                                 ///< Several answers, or none though the VM stayed up.
    std::size_t requests_cut_by_drain = 0; ///< A drain ended with requests in flight.
    std::size_t wrong_orders = 0; ///< Engines that went back to, or stayed with, old orders.

    [[nodiscard]] std::size_t count() const
    {
        return reverts + served_old + lost_switches + divergence + leaving_offered + late_marks +
               members_not_alive + missing_or_repeated_answers + requests_cut_by_drain +
               wrong_orders;
    }
};

/// \brief Runs a fleet in small steps and checks every node after each.
class control_checker
{
public:
    explicit control_checker(fleet_loop& loop) : loop_{loop}, histories_(loop.nodes().size()) {}

    violations found;
    /// \brief False while datagrams may not reach every node: marks are not expected in time then.
    bool network_reliable = true;

    void step(state::duration time)
    {
        state::time_point const end = loop_.now() + time;
        while (loop_.now() < end)
        {
            loop_.run_for(std::min<state::duration>(20ms, end - loop_.now()));
            // State before the step: a returning node may still lack what spread during it.
            std::vector<node_history> const before = histories_;
            for (std::size_t i = 0; i < histories_.size(); ++i)
            {
                check_node(i, before);
            }
        }
    }

    /// \brief Records that a node has learnt that engine 1, in its first incarnation, is leaving.
    void record_leaving_mark()
    {
        marked_ = true;
        marked_at_ = loop_.now();
    }
    [[nodiscard]] bool has_mark() const
    {
        return marked_;
    }

    void record_switch_request(std::uint64_t exchange, std::size_t node)
    {
        requested_switches_.push_back({exchange, node, loop_.nodes()[node].start_count});
    }

    /// \brief Checks what has to hold when all faults have been over for long enough.
    void check_final_state()
    {
        state::preset_stamp const agreed = loop_.fleet(0)->in_force;
        for (std::size_t i = 0; i < histories_.size(); ++i)
        {
            check_final_state_of(i, agreed);
        }
        for (auto const& [node, action] : loop_.answers)
        {
            bool const accepted = action.answer.outcome == switch_outcome::accepted;
            found.lost_switches += accepted && agreed < action.answer.stamp ? 1 : 0;
        }
        for (requested_switch const& each : requested_switches_)
        {
            auto const answered =
                std::count_if(loop_.answers.begin(), loop_.answers.end(),
                              [&each](auto const& answer)
                              { return answer.second.exchange.value == each.exchange; });
            bool const stayed_up = loop_.nodes()[each.node].start_count == each.start_count;
            found.missing_or_repeated_answers +=
                answered > 1 || (stayed_up && answered == 0) ? 1 : 0;
        }
    }

private:
    struct node_history
    {
        std::uint64_t start_count = 0;
        bool alive = false;
        bool ready = false;
        state::time_point last_alive{};
        state::preset_stamp in_force;
        /// \brief Lowest stamp that the others had in force when this node came back.
        state::preset_stamp minimum_stamp;
        bool has_stopped_offering = false;
    };
    struct requested_switch
    {
        std::uint64_t exchange = 0;
        std::size_t node = 0;
        std::uint64_t start_count = 0;
    };

    void check_node(std::size_t i, std::vector<node_history> const& before)
    {
        node_history& history = histories_[i];
        node_model const& node = loop_.nodes()[i];
        if (history.start_count != node.start_count)
        {
            history = {node.start_count, false, false, {}, {}, {}, false};
        }
        bool const came_back = loop_.alive(i) && !history.alive;
        history.alive = loop_.alive(i);
        if (!history.alive)
        {
            return;
        }
        // A pause within the tolerance has no more effect than a slow datagram.
        bool const was_long =
            loop_.now() - history.last_alive > node.settings.pause_tolerance + 100ms;
        history.last_alive = loop_.now();
        if (came_back && was_long)
        {
            history.minimum_stamp = lowest_in_force_except(i, before);
        }
        auto const fleet = loop_.fleet(i);
        found.reverts += fleet->in_force < history.in_force ? 1 : 0;
        found.served_old +=
            network_reliable && fleet->ready && fleet->in_force < history.minimum_stamp ? 1 : 0;
        history.in_force = fleet->in_force;
        history.ready = fleet->ready;
        found.requests_cut_by_drain += node.finished && node.in_flight->load() != 0 ? 1 : 0;
        check_marks(*fleet, history);
    }

    void check_marks(fleet_snapshot const& fleet, node_history& history)
    {
        auto const* const engine = fleet.find_upstream({1});
        bool const is_marked = engine != nullptr && engine->info.incarnation_number.value == 1;
        bool const offered = is_marked && engine->accepting;
        found.leaving_offered += offered && history.has_stopped_offering ? 1 : 0;
        history.has_stopped_offering = history.has_stopped_offering || (is_marked && !offered);
        bool const must_know_mark = marked_ && network_reliable && loop_.now() - marked_at_ > 2s &&
                                    fleet.ready && none_paused();
        found.late_marks += must_know_mark && offered ? 1 : 0;
    }

    [[nodiscard]] bool none_paused() const
    {
        return std::none_of(loop_.nodes().begin(), loop_.nodes().end(),
                            [](node_model const& node) { return node.paused; });
    }

    [[nodiscard]] static state::preset_stamp
    lowest_in_force_except(std::size_t excluded, std::vector<node_history> const& before)
    {
        state::preset_stamp lowest{UINT64_MAX, 0, 0, {}};
        for (std::size_t i = 0; i < before.size(); ++i)
        {
            if (i != excluded && before[i].alive && before[i].ready)
            {
                lowest = std::min(lowest, before[i].in_force);
            }
        }
        return lowest.revision == UINT64_MAX ? state::preset_stamp{} : lowest;
    }

    void check_final_state_of(std::size_t i, state::preset_stamp const& agreed)
    {
        if (!loop_.alive(i) || loop_.nodes()[i].finished)
        {
            return;
        }
        auto const fleet = loop_.fleet(i);
        bool const same = fleet->in_force == agreed && fleet->stamp == agreed &&
                          preset_named(fleet->preset.name) == agreed.preset;
        found.divergence += same && (fleet->ready || fleet->draining) ? 0 : 1;
        for (std::size_t other = 0; other < histories_.size(); ++other)
        {
            if (other == i || !loop_.alive(other) || loop_.nodes()[other].finished)
            {
                continue;
            }
            auto const* const member = fleet->find_member(fleet_loop::id_of(other));
            bool const seen = member != nullptr &&
                              member->incarnation_number ==
                                  loop_.nodes()[other].settings.self.incarnation_number &&
                              member->health != state::member_health::dead &&
                              member->health != state::member_health::suspect;
            found.members_not_alive += seen ? 0 : 1;
        }
    }

    fleet_loop& loop_;
    std::vector<node_history> histories_;
    std::vector<requested_switch> requested_switches_;
    bool marked_ = false;
    state::time_point marked_at_{};
};

} // namespace plumdale::testing
