#include <plumdale/coordination/pace_meter.hpp>

#include <chrono>

namespace plumdale::coordination
{

void pace_meter::begin(state::time_point now) noexcept
{
    measures_ = true;
    gaps_ = 0;
    expected_ = {};
    began_at_ = now;
    last_at_ = now;
}

std::optional<double> pace_meter::add(state::duration expected, state::time_point now) noexcept
{
    if (!measures_)
    {
        begin(now);
        return std::nullopt;
    }
    ++gaps_;
    expected_ += expected;
    last_at_ = now;
    auto const ratio = now - began_at_ < min_window ? std::nullopt : finish();
    if (ratio)
    {
        begin(now);
    }
    return ratio;
}

std::optional<double> pace_meter::finish() const noexcept
{
    bool const is_enough = measures_ && gaps_ >= min_gaps && expected_ > state::duration::zero();
    return is_enough ? std::optional{std::chrono::duration<double>(last_at_ - began_at_) /
                                     std::chrono::duration<double>(expected_)}
                     : std::nullopt;
}

void pace_meter::interrupt() noexcept
{
    measures_ = false;
}

} // namespace plumdale::coordination
