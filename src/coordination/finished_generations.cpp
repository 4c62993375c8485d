#include <plumdale/coordination/finished_generations.hpp>

#include <utility>

namespace plumdale::coordination
{

finished_generations::finished_generations(state::duration retention_time, std::uint32_t count,
                                           std::size_t max_text_bytes)
    : retention_time_{retention_time}, max_entries_{count}, max_text_bytes_{max_text_bytes}
{
}

void finished_generations::remember(std::uint64_t sequence, finished_generation entry,
                                    state::time_point now)
{
    erase(sequence);
    if (entry.text && retained_text_bytes_ + entry.text->size() > max_text_bytes_)
    {
        entry.text = nullptr;
    }
    retained_text_bytes_ += entry.text ? entry.text->size() : 0;
    entries_.emplace(sequence, std::move(entry));
    by_end_time_.push_back({sequence, now});
    while (!by_end_time_.empty() &&
           (by_end_time_.front().ended + retention_time_ < now || entries_.size() > max_entries_))
    {
        erase(by_end_time_.front().sequence);
        by_end_time_.pop_front();
    }
}

finished_generation const* finished_generations::find(std::uint64_t sequence) const noexcept
{
    auto const found = entries_.find(sequence);
    return found == entries_.end() ? nullptr : &found->second;
}

void finished_generations::erase(std::uint64_t sequence)
{
    auto const found = entries_.find(sequence);
    if (found == entries_.end())
    {
        return;
    }
    retained_text_bytes_ -= found->second.text ? found->second.text->size() : 0;
    entries_.erase(found);
}

} // namespace plumdale::coordination
