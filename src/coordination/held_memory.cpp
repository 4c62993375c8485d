#include <plumdale/coordination/held_memory.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

void held_memory::add(memory_place place, state::time_point now)
{
    forget(place.at);
    places_.insert(places_.begin(), std::move(place));
    if (asked_until_ != state::never)
    {
        run_ended(now);
    }
}

void held_memory::add_backup(state::member_key at)
{
    if (!is_held_at(at))
    {
        places_.push_back({at, at, {}});
    }
}

void held_memory::run_ended(state::time_point now) noexcept
{
    asked_until_ = now + asked_lifetimes * lifetime_;
}

void held_memory::forget(state::member_key at)
{
    std::erase_if(places_, [at](memory_place const& each) { return each.at == at; });
    turn_ = 0;
    passed_ = 0;
}

void held_memory::clear() noexcept
{
    places_.clear();
    turn_ = 0;
    passed_ = 0;
    asked_until_ = state::never;
}

memory_place const* held_memory::next(upstream_check const& may_resume_at)
{
    for (std::size_t looked_at = 0; looked_at < places_.size(); ++looked_at)
    {
        if (may_resume_at(places_[turn_].at))
        {
            return &places_[turn_];
        }
        pass_turn();
    }
    return nullptr;
}

void held_memory::pass_turn() noexcept
{
    turn_ = places_.empty() ? 0 : (turn_ + 1) % places_.size();
    ++passed_;
}

bool held_memory::is_round_over() noexcept
{
    bool const is_over = passed_ >= places_.size();
    passed_ = is_over ? 0 : passed_;
    return is_over;
}

bool held_memory::is_held_at(state::member_key at) const noexcept
{
    return std::any_of(places_.begin(), places_.end(),
                       [at](memory_place const& each) { return each.at == at; });
}

bool held_memory::is_held_only_at(upstream_check const& check) const
{
    return std::all_of(places_.begin(), places_.end(),
                       [&check](memory_place const& each) { return check(each.at); });
}

} // namespace plumdale::coordination
