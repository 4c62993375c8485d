#pragma once

#include <plumdale/protocol/raw_event_splitter.hpp>

#include <cstdint>

/// \file
/// \brief How far a caller has got in a stream of events that several upstreams may produce.

namespace plumdale::protocol
{

/// \brief Decides which pieces of a stream the caller still lacks, across resumptions.
///
/// Example:
/// \code
/// if (progress.take(*event)) { send(event->text); }
/// // the upstream is gone
/// if (progress.is_resumable()) { request_from(progress.last_id()); progress.resume(); }
/// \endcode
class event_progress
{
public:
    /// \brief Takes the next piece of the run; returns whether the caller lacks it.
    [[nodiscard]] bool take(raw_event const& event);
    /// \brief A new run begins, which goes on after `last_id`.
    void resume() noexcept;

    /// \brief Returns the last numeric id that the caller has; 0 if none.
    [[nodiscard]] std::uint64_t last_id() const noexcept
    {
        return last_id_;
    }
    /// \brief Returns whether `last_id` names the last event that the caller has.
    [[nodiscard]] bool is_resumable() const noexcept
    {
        return !has_unnumbered_;
    }

private:
    [[nodiscard]] bool is_repeated(raw_event const& event) const noexcept;
    [[nodiscard]] bool is_lacking(raw_event const& event);

    std::uint64_t last_id_ = 0;
    /// \brief The last id of the run.
    std::uint64_t run_id_ = 0;
    /// \brief The id that the run goes on after.
    std::uint64_t resumed_after_ = 0;
    bool is_resumed_ = false;
    /// \brief Events without a numeric id came after the last one with such an id.
    bool has_unnumbered_ = false;
    bool has_taken_previous_ = true;
};

} // namespace plumdale::protocol
