#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// \brief Recent digests of this entry VM's directory.

namespace plumdale::coordination
{

/// \brief Remembers the latest digests, so that a peer that is behind can be distinguished from
/// one that knows more.
class recent_digests
{
public:
    constexpr void add(std::uint64_t digest) noexcept
    {
        digests_[next_] = digest;
        next_ = (next_ + 1) % digests_.size();
        size_ = std::min(size_ + 1, digests_.size());
    }

    [[nodiscard]] constexpr bool contains(std::uint64_t digest) const noexcept
    {
        auto const end = digests_.begin() + static_cast<std::ptrdiff_t>(size_);
        return std::find(digests_.begin(), end, digest) != end;
    }

private:
    /// \brief Covers some seconds of a release in which ten upstreams change each second.
    static constexpr std::size_t capacity = 64;

    std::array<std::uint64_t, capacity> digests_{};
    std::size_t next_ = 0;
    std::size_t size_ = 0;
};

} // namespace plumdale::coordination
