#include <plumdale/coordination/copy_admission.hpp>
#include <plumdale/coordination/copy_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace plumdale::coordination
{
namespace
{

// The share of the others' link time by which orders are delayed although the link will be busy
// until the departure: enough for an order among them, and the link has a queue from the start.
constexpr double min_turn_share = 0.25;

std::uint64_t saturating_subtract(std::uint64_t from, std::uint64_t amount) noexcept
{
    return from - std::min(from, amount);
}

std::uint64_t tokens_in(state::duration time) noexcept
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time / copy_token_time));
}

// The probability that a generation is still running when its upstream goes: an estimate of twice
// the time left counts as certain.
double chance_to_outlive(copy_request const& copy) noexcept
{
    std::uint64_t const generated = tokens_in(copy.time_left);
    if (generated == 0)
    {
        return 1.0;
    }
    double const remaining = static_cast<double>(copy.remaining_tokens);
    return std::clamp(remaining / static_cast<double>(generated) - 1.0, 0.0, 1.0);
}

} // namespace

std::uint32_t copy_rooms(copy_request const& copy, copy_destination const& at,
                         state::engine_limits const& engine) noexcept
{
    bool const is_in_time =
        copy_duration(engine, copy.tokens, copy.to_other_zone) <= copy.time_left;
    if (!is_in_time)
    {
        return 0;
    }
    std::uint64_t const free_slots = saturating_subtract(engine.batch, at.calls);
    bool const is_batch_limited = engine.batch != 0;
    // A copy is used or dropped within its lifetime.
    std::uint64_t const growth = tokens_in(std::min(copy.time_left, engine.copy_lifetime));
    std::uint64_t const growth_there =
        std::min(saturating_subtract(at.tokens_at_end, at.tokens_held), growth * at.calls);
    std::uint64_t const free_tokens =
        saturating_subtract(engine.memory_tokens, at.tokens_held + growth_there);
    std::uint64_t const needed = std::max<std::uint64_t>(
        1, copy.tokens + std::min<std::uint64_t>(copy.remaining_tokens, growth));
    std::uint64_t const in_memory =
        engine.memory_tokens == 0 ? std::uint64_t{1} : free_tokens / needed;
    std::uint64_t const rooms = is_batch_limited ? std::min(free_slots, in_memory) : in_memory;
    return static_cast<std::uint32_t>(rooms);
}

bool fits(copy_request const& copy, copy_destination const& at,
          state::engine_limits const& engine) noexcept
{
    return copy_rooms(copy, at, engine) > 0;
}

// Of exponential times with the rates `weight`, each is the least with a probability in proportion
// to its rate. Orders that don't know of each other meet least if each destination is as likely to
// overflow: its weight then grows in proportion to its rooms where there are as many orders as
// rooms, and with their square where there are few orders.
void destination_draw::add(state::member_key member, bool is_other_zone, std::uint32_t rooms,
                           double uniform) noexcept
{
    if (rooms == 0)
    {
        return;
    }
    double const weight = std::pow(static_cast<double>(rooms), 1.5);
    double const time = -std::log1p(-uniform) / weight;
    bool const is_nearer = is_drawn_in_other_zone_ && !is_other_zone;
    bool const is_same = is_drawn_in_other_zone_ == is_other_zone;
    if (!drawn_ || is_nearer || (is_same && time < lowest_))
    {
        drawn_ = member;
        is_drawn_in_other_zone_ = is_other_zone;
        lowest_ = time;
    }
}

state::duration copy_turn(copy_request const& copy, leaving_generations const& all,
                          state::engine_limits const& engine, double uniform) noexcept
{
    std::uint64_t const others = saturating_subtract(all.tokens, copy.tokens);
    if (all.calls <= 1 || others == 0)
    {
        return {};
    }
    state::duration const others_time =
        copy_duration(engine, others, false) + (all.calls - 1) * copy_duration(engine, 0, false);
    // Whoever orders by then is through by the time of refreshes, whatever the order.
    state::duration const spare =
        copy.time_left - refresh_lead - others_time - copy_duration(engine, copy.tokens, false);
    auto const window = std::clamp(static_cast<double>(spare.count()),
                                   min_turn_share * static_cast<double>(others_time.count()),
                                   static_cast<double>(others_time.count()));
    double const mean = static_cast<double>(all.tokens) / all.calls;
    double const need = std::min(1.0, copy.tokens / mean) * chance_to_outlive(copy);
    // Those that need it alike are spread evenly, so that each knows of the orders before it.
    double const share = 1.0 - need + need * uniform;
    return state::duration{static_cast<state::duration::rep>(window * share)};
}

} // namespace plumdale::coordination
