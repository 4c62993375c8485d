#include <plumdale/coordination/configuration_reader.hpp>

#include <algorithm>

namespace plumdale::coordination
{
namespace
{

constexpr std::uint32_t failures_when_down = 3;
// A read without an answer counts as failed after this time beyond its wait.
constexpr state::duration read_timeout = std::chrono::seconds{5};

} // namespace

configuration_reader::configuration_reader(node_settings const& settings, std::uint64_t seed)
    : settings_{settings}, random_{static_cast<std::minstd_rand::result_type>(
                               state::mix(seed, 0x726561646572ULL))}
{
}

void configuration_reader::advance(bool is_reader, state::time_point now, control_actions& actions)
{
    if (outstanding_ && now >= next_)
    {
        fail(now);
    }
    bool const became_reader = is_reader && !was_reader_;
    was_reader_ = is_reader;
    if (outstanding_ || (now < next_ && !became_reader))
    {
        return;
    }
    is_long_poll_ = is_reader && failures_ == 0 && read_once_;
    state::duration const wait = is_long_poll_ ? settings_.watch_wait : state::duration{};
    actions.emplace_back(read_configuration{last_revision_, wait});
    outstanding_ = true;
    started_at_ = now;
    next_ = now + wait + read_timeout;
}

void configuration_reader::finish(std::uint64_t revision, state::time_point now)
{
    bool const has_changes = revision > last_revision_;
    bool const has_waited = is_long_poll_ && now - started_at_ >= settings_.watch_wait / 2;
    outstanding_ = false;
    failures_ = 0;
    read_once_ = true;
    last_revision_ = std::max(last_revision_, revision);
    if (!was_reader_)
    {
        next_ = now + with_jitter(settings_.idle_read_interval);
        return;
    }
    // A service that answers without waiting must not be polled in a busy loop.
    next_ = has_changes || has_waited
                ? now
                : std::max(now, started_at_ + settings_.configuration_interval);
}

void configuration_reader::fail(state::time_point now)
{
    outstanding_ = false;
    ++failures_;
    next_ = now + with_jitter(settings_.configuration_interval);
}

void configuration_reader::resume_after_pause(state::time_point now)
{
    outstanding_ = false;
    next_ = now;
}

bool configuration_reader::is_service_down() const noexcept
{
    return failures_ >= failures_when_down;
}

// Draws between half of `time` and one and a half of it, so that readers don't poll together.
state::duration configuration_reader::with_jitter(state::duration time)
{
    std::uniform_int_distribution<state::duration::rep> of{time.count() / 2, time.count() * 3 / 2};
    return state::duration{of(random_)};
}

} // namespace plumdale::coordination
