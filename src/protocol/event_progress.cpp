#include <plumdale/protocol/event_progress.hpp>

namespace plumdale::protocol
{

bool event_progress::take(raw_event const& event)
{
    if (!event.ends_previous)
    {
        has_taken_previous_ = is_lacking(event);
    }
    return has_taken_previous_;
}

void event_progress::resume() noexcept
{
    is_resumed_ = true;
    resumed_after_ = last_id_;
    run_id_ = last_id_;
}

bool event_progress::is_lacking(raw_event const& event)
{
    run_id_ = event.id.value_or(run_id_);
    if (is_resumed_ && is_repeated(event))
    {
        return false;
    }
    if (event.id)
    {
        last_id_ = *event.id;
        has_unnumbered_ = false;
    }
    else if (event.is_event)
    {
        has_unnumbered_ = true;
    }
    return true;
}

// Ids rise, so that an event without one stands between those before and after it. A mark inside
// the stream, where the new run's bytes begin, would be part of a field's name.
bool event_progress::is_repeated(raw_event const& event) const noexcept
{
    if (event.id)
    {
        return *event.id <= resumed_after_;
    }
    bool const is_before = event.is_event && run_id_ < resumed_after_;
    return is_before || event.text == raw_event_splitter::byte_order_mark;
}

} // namespace plumdale::protocol
