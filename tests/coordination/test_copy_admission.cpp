#include <plumdale/coordination/copy_admission.hpp>
#include <plumdale/coordination/generation_failover.hpp>
#include <plumdale/coordination/upstream_selector.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr state::time_point start{100s};
constexpr std::size_t vms = 81;
constexpr std::size_t upstreams = 57;
constexpr std::array<char const*, 3> zones{"a", "b", "c"};

state::service drafts()
{
    state::service service;
    service.name = "drafts";
    service.engine = state::engine_limits{};
    service.engine->batch = 24;
    service.engine->memory_tokens = 26'984;
    service.engine->bytes_per_token = 96'256.0;
    service.engine->link_megabits = 14'000.0;
    service.engine->live_migration = true;
    return service;
}

// An entry VM: what it knows of upstreams, with news that come late or not at all.
struct decider
{
    explicit decider(std::uint32_t number) : self{number}, random{number} {}

    state::node_id self;
    std::minstd_rand random;
    service_directory directory;
    load_ledger ledger;
    outlier_detector health;
    fleet_view fleet{self};
    cold_upstream_limiter share{fleet, self, {}};
    upstream_limits limits{fleet, self};
    upstream_subset subset{directory, self};
    upstream_backoffs backoffs;
    refusal_bounds refusals{limits};
    send_gate gate{directory, health, backoffs, share, limits, refusals};
    selection_hints hints;
    upstream_selector selector{directory, ledger, health, gate, subset, hints, "a", random};
    std::uint64_t sequence = 0;
};

struct upstream
{
    state::member_key key;
    std::string zone;
    std::uint32_t tokens = 0;
    std::uint32_t calls = 0;
    state::time_point link_free = start;
};

struct generation
{
    std::size_t vm = 0;
    state::member_key source;
    std::uint32_t tokens = 0;
    std::unique_ptr<generation_failover> failover;
    state::time_point answer_at = state::never;
    bool is_accepted = false;
    bool is_saved = false;
};

struct outcome
{
    std::size_t ordered = 0;
    std::size_t refused = 0;
    std::size_t saved = 0;
};

struct load
{
    bool is_fitted = true;
    state::duration news_age = 30ms;
    /// Upstreams that leave at once, and after which time.
    std::size_t leaving = 9;
    state::duration notice = 1'700ms;
    /// Tokens held at the others: this many, and up to `spread` more.
    std::uint32_t held = 14'000;
    std::uint32_t spread = 12'900;
};

class reclaimed_fleet
{
public:
    reclaimed_fleet(load const& pattern, std::uint32_t seed) : pattern_{pattern}, random_{seed}
    {
        for (std::uint32_t vm = 0; vm < vms; ++vm)
        {
            deciders_.push_back(std::make_unique<decider>(vm + 1));
        }
        for (std::size_t i = 0; i < upstreams; ++i)
        {
            add_upstream(i);
        }
    }

    outcome run()
    {
        state::time_point const end = start + pattern_.notice;
        for (generation& each : generations_)
        {
            order_first(each, end);
        }
        for (state::time_point now = start; now < end; now += 5ms)
        {
            deliver_news(now);
            for (generation& each : generations_)
            {
                advance(each, now);
            }
        }
        for (generation& each : generations_)
        {
            failover_actions actions;
            each.failover->source_ended(end, actions);
            // The order to stop, or one on its way, finds that the process is gone.
            each.failover->copy_refused(copy_refusal::process_gone, {}, end, actions);
            each.is_saved =
                !actions.empty() && std::holds_alternative<resume_generation>(actions.back());
            result_.saved += each.is_saved ? 1 : 0;
        }
        return result_;
    }

private:
    static constexpr std::uint32_t generations_each = 8;
    static constexpr std::uint32_t tokens_each = 2'500;
    static constexpr std::uint32_t tokens_of_all = generations_each * tokens_each;
    static constexpr std::uint32_t remaining_tokens = 400;

    struct news
    {
        state::time_point at;
        state::node_id from;
        std::uint64_t sequence;
        member_load row;
    };

    void add_upstream(std::size_t i)
    {
        bool const leaves = i < pattern_.leaving;
        state::service_member member;
        member.name = "i-" + std::to_string(i);
        member.service = "drafts";
        member.zone = zones[i % zones.size()];
        member.slots = 24;
        member.revision = 1;
        member.leaving = leaves;
        state::member_key const key = state::key_of(member);
        std::uint32_t held = tokens_of_all;
        if (!leaves)
        {
            held = static_cast<std::uint32_t>(pattern_.held + random_() % (pattern_.spread + 1));
        }
        upstreams_[key] = {key, member.zone, held, held / tokens_each, start};
        member_load const row{key, held / tokens_each, held, held, 0};
        for (auto const& each : deciders_)
        {
            each->directory.merge(member, start);
            each->ledger.apply_update(state::node_id{1'000 + static_cast<std::uint32_t>(i)},
                                      state::incarnation{1}, 1, false, std::span{&row, 1}, start);
        }
        for (std::uint32_t g = 0; leaves && g < generations_each; ++g)
        {
            generations_.push_back({generations_.size() % vms, key, tokens_each, nullptr});
        }
    }

    std::optional<state::member_key> choose(generation const& each, state::time_point end,
                                            std::span<state::member_key const> excluded)
    {
        decider const& vm = *deciders_[each.vm];
        selection_options const options{upstreams_[each.source].zone, excluded, 1.0};
        if (pattern_.is_fitted)
        {
            copy_request const copy{each.tokens, remaining_tokens, end - now_};
            return vm.selector.choose_for_copy(drafts(), copy, options, now_).member;
        }
        auto const chosen =
            vm.selector.choose(drafts(), {each.tokens, remaining_tokens}, options, now_);
        return chosen ? std::optional{chosen->member} : std::nullopt;
    }

    void order_first(generation& each, state::time_point end)
    {
        each.failover = std::make_unique<generation_failover>(
            each.source, move_rules{[this, &each, end](state::member_key, auto excluded)
                                    {
                                        return choose(each, end, excluded);
                                    }});
        copy_schedule times{end - refresh_lead, end + overdue_after};
        if (pattern_.is_fitted)
        {
            std::uniform_real_distribution<double> uniform{0.0, 1.0};
            copy_request const copy{each.tokens, remaining_tokens, end - start};
            times.first =
                first_copy_times{start + copy_turn(copy, {tokens_of_all, generations_each},
                                                   *drafts().engine, uniform(random_)),
                                 end - copy_duration(*drafts().engine, each.tokens, false)};
        }
        failover_actions actions;
        each.failover->source_leaves(times, start, actions);
        carry_out(each, actions);
    }

    void advance(generation& each, state::time_point now)
    {
        now_ = now;
        failover_actions actions;
        if (now >= each.answer_at)
        {
            each.answer_at = state::never;
            each.is_accepted
                ? each.failover->copied("copy", now, actions)
                : each.failover->copy_refused(copy_refusal::no_capacity, {}, now, actions);
        }
        each.failover->advance(now, actions);
        carry_out(each, actions);
    }

    void carry_out(generation& each, failover_actions const& actions)
    {
        for (failover_action const& action : actions)
        {
            auto const* const order = std::get_if<order_copy>(&action);
            bool const is_first = order != nullptr && !each.is_accepted;
            if (is_first)
            {
                carry_out(each, *order);
            }
        }
    }

    void carry_out(generation& each, order_copy const& order)
    {
        ++result_.ordered;
        upstream& to = upstreams_[order.destination];
        upstream& from = upstreams_[each.source];
        member_load const copy{to.key, 1, each.tokens, each.tokens + remaining_tokens, 0};
        each.is_accepted = to.tokens + each.tokens <= drafts().engine->memory_tokens &&
                           to.calls < drafts().engine->batch;
        each.answer_at = now_ + 2ms;
        if (!each.is_accepted)
        {
            ++result_.refused;
            return;
        }
        to.tokens += each.tokens;
        ++to.calls;
        from.link_free = std::max(from.link_free, now_) +
                         copy_duration(*drafts().engine, each.tokens, to.zone != from.zone);
        each.answer_at = from.link_free;
        decider& vm = *deciders_[each.vm];
        vm.ledger.add(to.key, copy);
        news_.push_back({now_ + pattern_.news_age, vm.self, ++vm.sequence, vm.ledger.own(to.key)});
    }

    void deliver_news(state::time_point now)
    {
        for (; delivered_ < news_.size() && news_[delivered_].at <= now; ++delivered_)
        {
            news const& due = news_[delivered_];
            for (auto const& each : deciders_)
            {
                bool const is_lost = random_() % 20 == 0;
                if (each->self != due.from && !is_lost)
                {
                    each->ledger.apply_update(due.from, state::incarnation{1}, due.sequence, false,
                                              std::span{&due.row, 1}, now);
                }
            }
        }
    }

    load pattern_;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<decider>> deciders_;
    std::map<state::member_key, upstream> upstreams_;
    std::vector<generation> generations_;
    std::vector<news> news_;
    std::size_t delivered_ = 0;
    state::time_point now_ = start;
    outcome result_;
};

// Sums over three fleets that differ in what their upstreams hold and in which news are lost.
outcome play(load pattern, bool is_fitted)
{
    pattern.is_fitted = is_fitted;
    outcome sum;
    for (std::uint32_t seed = 7; seed < 10; ++seed)
    {
        outcome const each = reclaimed_fleet{pattern, seed}.run();
        sum.ordered += each.ordered;
        sum.refused += each.refused;
        sum.saved += each.saved;
    }
    return sum;
}

} // namespace

// Load pattern: a sixth of 57 upstreams is reclaimed at once, eight drafts each, while the others
// hold half of their memory to all of it; VMs learn of each other's orders within 30 ms, but one of
// 20 never. Guards against orders that meet at one destination or go where there is no room.
TEST_CASE("copies of a reclaimed sixth go to upstreams where they fit", "[copy_admission][load]")
{
    outcome const fitted = play({}, true);
    outcome const unfitted = play({}, false);
    CAPTURE(fitted.ordered, fitted.saved, unfitted.ordered, unfitted.saved);
    CHECK(4 * fitted.refused < unfitted.refused);
    CHECK(fitted.saved > unfitted.saved);
}

// The same with news that are half a second old, as when the budget of bytes is spent: the order in
// which generations order no longer helps, but who is refused tries further destinations.
TEST_CASE("old news of orders cost no generation of a reclaimed sixth", "[copy_admission][load]")
{
    load old_news;
    old_news.news_age = 500ms;
    outcome const fitted = play(old_news, true);
    outcome const unfitted = play(old_news, false);
    CAPTURE(fitted.ordered, fitted.refused, unfitted.ordered, unfitted.refused);
    CHECK(fitted.saved > unfitted.saved);
    CHECK(fitted.refused < fitted.saved / 2);
}

// Load pattern: a crowd fills all but a few upstreams to the last draft as a sixth is reclaimed.
// Guards against orders of generations for which there is no room anywhere.
TEST_CASE("few copies are refused in a crowd", "[copy_admission][load]")
{
    load crowd;
    crowd.held = 23'000;
    crowd.spread = 3'900;
    outcome const fitted = play(crowd, true);
    outcome const unfitted = play(crowd, false);
    CAPTURE(fitted.ordered, unfitted.ordered);
    CHECK(3 * fitted.refused < 2 * unfitted.refused);
    CHECK(fitted.saved >= unfitted.saved);
}

// Load pattern: upstreams are gone before the first copy could be complete.
TEST_CASE("no copy is ordered that could not be complete", "[copy_admission][load]")
{
    load sudden;
    sudden.notice = 100ms;
    CHECK(play(sudden, true).ordered == 0);
    CHECK(play(sudden, false).ordered > 0);
}

// Guards against a copy that takes the last slot of a batch, or memory that generations need which
// run there already.
TEST_CASE("a copy fits where slots and memory last until it is resumed", "[copy_admission]")
{
    state::engine_limits const engine = *drafts().engine;
    copy_request const copy{3'000, 600, 1'200ms};
    CHECK(fits(copy, {23'800, 8, 23'800}, engine));
    CHECK_FALSE(fits(copy, {23'900, 8, 23'900}, engine));
    CHECK_FALSE(fits(copy, {23'800, 8, 27'000}, engine));
    CHECK(fits(copy, {10'000, 23, 10'000}, engine));
    CHECK_FALSE(fits(copy, {10'000, 24, 10'000}, engine));
}
