#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

/// \file
/// \brief Records that an owner keeps of generations that ended.

namespace plumdale::coordination
{

/// \brief One ended generation.
struct finished_generation
{
    state::upstream_id upstream;
    state::customer_id customer;
    std::uint32_t count = 0;
    state::work_kind kind = state::work_kind::question;
    /// \brief False when nothing of it ran.
    bool ran = false;
    /// \brief True when the last token was seen.
    bool whole = false;
    /// \brief Answer of a plain call, since no upstream can return it again; otherwise null.
    std::shared_ptr<std::string const> text;
    /// \brief Sequence of the later start that replaced it; zero when none did.
    std::uint64_t replaced_by = 0;
    /// \brief HTTP status of a plain call's answer.
    std::uint16_t status = 200;
};

/// \brief Ended generations by sequence number, bounded in number, age and retained text.
class finished_generations
{
public:
    finished_generations(state::duration retention_time, std::uint32_t count,
                         std::size_t max_text_bytes);

    void remember(std::uint64_t sequence, finished_generation entry, state::time_point now);
    /// \brief Returns the entry, or null when the generation did not end here or was evicted.
    [[nodiscard]] finished_generation const* find(std::uint64_t sequence) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }

private:
    struct ended_entry
    {
        std::uint64_t sequence;
        state::time_point ended;
    };

    void erase(std::uint64_t sequence);

    state::duration retention_time_;
    std::uint32_t max_entries_;
    std::size_t max_text_bytes_;
    std::size_t retained_text_bytes_ = 0;
    std::unordered_map<std::uint64_t, finished_generation> entries_;
    std::deque<ended_entry> by_end_time_;
};

} // namespace plumdale::coordination
