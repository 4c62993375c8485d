#include <plumdale/coordination/directory_repair.hpp>

namespace plumdale::coordination
{

directory_repair::directory_repair(fleet_view const& fleet, std::minstd_rand& random) noexcept
    : fleet_{fleet}, random_{random}, sync_{random}, refresh_{random}, fallback_{random}
{
}

void directory_repair::begin_refresh(state::time_point now)
{
    refresh_.begin(fleet_.peers().size(), now);
}

std::optional<repair_step> directory_repair::next(bool has_list, state::time_point now)
{
    if (has_list && refresh_.is_due(now))
    {
        if (auto const peer = fleet_.peer_to_refresh_from(random_(), refresh_.asked(), now))
        {
            refresh_.requested(*peer);
            return repair_step{repair_reason::refresh, peer};
        }
    }
    if (has_list && refresh_.take_store_turn(now))
    {
        return repair_step{repair_reason::refresh, std::nullopt};
    }
    if (auto const step = next_for_difference(has_list, now))
    {
        return step;
    }
    return has_list ? next_check(now) : std::nullopt;
}

std::optional<repair_step> directory_repair::next_check(state::time_point now)
{
    if (is_checking_ || now < check_at_)
    {
        return std::nullopt;
    }
    constexpr state::duration longest = check_interval;
    std::uniform_int_distribution<state::duration::rep> wait{longest.count() / 2, longest.count()};
    check_at_ = now + state::duration{wait(random_)};
    auto const peer = fleet_.peer_to_refresh_from(random_(), {}, now);
    is_checking_ = peer.has_value();
    return peer ? std::optional{repair_step{repair_reason::check, peer}} : std::nullopt;
}

// A VM whose peers all lack a row that it has may be the one that is wrong: a removal that they
// have forgotten is in no answer of theirs.
std::optional<repair_step> directory_repair::next_for_difference(bool has_list,
                                                                 state::time_point now)
{
    if (sync_.is_due(now))
    {
        auto const peer = has_list ? fleet_.peer_with_newer_directory(random_(), now)
                                   : fleet_.bootstrap_peer(random_(), now);
        fallback_.observe(has_list && (peer || fleet_.is_alone()), now);
        if (peer)
        {
            sync_.requested();
            return repair_step{repair_reason::difference, peer};
        }
    }
    if (fallback_.take_due(fleet_.peers().size(), now))
    {
        return repair_step{repair_reason::difference, std::nullopt};
    }
    return std::nullopt;
}

void directory_repair::answered(repair_reason reason, bool succeeded, bool brought_news,
                                state::time_point now)
{
    if (brought_news)
    {
        fallback_.progressed(now);
    }
    switch (reason)
    {
    case repair_reason::refresh:
        return refresh_.answered(succeeded);
    case repair_reason::difference:
        return sync_.answered(brought_news, now);
    case repair_reason::check:
        is_checking_ = false;
    }
}

} // namespace plumdale::coordination
