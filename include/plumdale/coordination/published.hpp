#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

/// \file
/// \brief Read-copy-update of one immutable value.

namespace plumdale::coordination
{

/// \brief Holds the latest version of an immutable value for readers on other threads.
///
/// Writers replace the value; a reader keeps a `cached_reader` of its own and pays one atomic load
/// while nothing changed. Example:
/// \code
/// published<fleet_snapshot> fleet{std::make_shared<fleet_snapshot const>()};
/// cached_reader<fleet_snapshot> reader{fleet};   // one for each reading thread
/// reader.current().members.size();
/// \endcode
template <class T>
class published
{
public:
    explicit published(std::shared_ptr<T const> first) : value_{std::move(first)} {}

    /// \brief Replaces the value; safe from any thread.
    void publish(std::shared_ptr<T const> next)
    {
        std::lock_guard const lock{mutex_};
        value_ = std::move(next);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// \brief Returns the number of the newest version.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return version_.load(std::memory_order_acquire);
    }

    /// \brief Returns the newest value.
    [[nodiscard]] std::shared_ptr<T const> value() const
    {
        std::lock_guard const lock{mutex_};
        return value_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<T const> value_;
    std::atomic<std::uint64_t> version_{1};
};

/// \brief One thread's view of a `published` value. An idle reader keeps an old value alive.
template <class T>
class cached_reader
{
public:
    explicit cached_reader(published<T> const& source) : source_{&source} {}

    /// \brief Returns the newest value; the reference holds until the next call.
    [[nodiscard]] T const& current()
    {
        std::uint64_t const newest = source_->version();
        if (newest != version_)
        {
            value_ = source_->value();
            version_ = newest;
        }
        return *value_;
    }

private:
    published<T> const* source_;
    std::shared_ptr<T const> value_;
    std::uint64_t version_ = 0;
};

} // namespace plumdale::coordination
