#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief Memory of answers that are held until they are whole.

namespace plumdale::transport
{

/// \brief Bounds the bytes of all answers that a VM holds.
///
/// An upstream may send bytes without end. Small answers are always held, so that one without end
/// costs no other.
class answer_memory
{
public:
    /// \brief Returns whether an answer of `size` bytes may grow by `more`.
    [[nodiscard]] bool may_hold(std::size_t size, std::size_t more) const noexcept
    {
        std::size_t const grown = size + more;
        return grown <= small_answer || (grown <= max_answer && held_ + more <= max_held);
    }
    void add(std::size_t bytes) noexcept
    {
        held_ += bytes;
    }
    void remove(std::size_t bytes) noexcept
    {
        held_ -= std::min(held_, bytes);
    }
    /// \brief Returns the bytes that are held now.
    [[nodiscard]] std::size_t held() const noexcept
    {
        return held_;
    }

    /// \brief Bytes that any answer may have.
    static constexpr std::size_t small_answer = 256UL * 1024;
    /// \brief Bytes of the largest answer.
    static constexpr std::size_t max_answer = 16UL * 1024 * 1024;
    /// \brief Bytes of all answers beyond which none may grow to more than a small one.
    static constexpr std::size_t max_held = 24UL * 1024 * 1024;

private:
    std::size_t held_ = 0;
};

/// \brief One answer that is held until it is whole.
class held_answer
{
public:
    explicit held_answer(answer_memory& memory) noexcept : memory_{memory} {}
    held_answer(held_answer const&) = delete;
    held_answer& operator=(held_answer const&) = delete;
    ~held_answer()
    {
        clear();
    }

    /// \brief Adds bytes; returns false, and adds nothing, if the answer is too large to be held.
    [[nodiscard]] bool append(std::string_view bytes)
    {
        if (!memory_.may_hold(text_.size(), bytes.size()))
        {
            return false;
        }
        memory_.add(bytes.size());
        text_.append(bytes);
        return true;
    }
    void clear() noexcept
    {
        memory_.remove(text_.size());
        text_.clear();
    }
    [[nodiscard]] std::string const& text() const noexcept
    {
        return text_;
    }

private:
    answer_memory& memory_;
    std::string text_;
};

} // namespace plumdale::transport
