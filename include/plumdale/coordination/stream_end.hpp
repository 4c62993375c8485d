#pragma once

#include <plumdale/state/service_member.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// \file
/// \brief What proves that a stream is whole.

namespace plumdale::coordination
{

/// \brief The closed list of proofs. A connection that was closed in order is none by itself: it is
/// closed so, too, when an order stops the run or its process is killed.
enum class end_proof : std::uint8_t
{
    none,
    framed,   ///< The stream's length or its last chunk says so.
    lived_on, ///< Closed in order after a whole event, by a process that answered afterwards, and
              ///< no order may have stopped the run.
    count     ///< Number of proofs; not one.
};

/// \brief Returns the word for a proof in log lines.
[[nodiscard]] std::string_view to_text(end_proof proof) noexcept;

/// \brief States that a stream is whole. Can be made only from a proof.
class stream_whole
{
public:
    /// \brief Returns none if `proof` is none.
    [[nodiscard]] static constexpr std::optional<stream_whole> by(end_proof proof) noexcept
    {
        bool const is_proof = proof != end_proof::none && proof != end_proof::count;
        return is_proof ? std::optional{stream_whole{proof}} : std::nullopt;
    }
    [[nodiscard]] constexpr end_proof proof() const noexcept
    {
        return proof_;
    }

private:
    constexpr explicit stream_whole(end_proof proof) noexcept : proof_{proof} {}

    end_proof proof_;
};

/// \brief What is known of an order that may stop a run.
enum class stop_outcome : std::uint8_t
{
    open,     ///< It may take effect, now or at any later time.
    no_effect ///< Nothing of it was written, or its upstream knew no such run.
};

/// \brief Remembers which orders may stop the runs of a generation, and says whether a close in
/// order may be the end of its stream.
///
/// Orders are remembered by upstream, however they were answered, and beyond the run that they were
/// written for: one that is late, or arrives twice, may stop a later run of the same generation
/// there. Example:
/// \code
/// stream_end_record ends;
/// ends.stop_ordered(upstream);
/// ends.order_ended(upstream, stop_outcome::no_effect);
/// ends.closed_in_order(upstream);
/// if (ends.may_be_whole()) { ask_whether_it_lives(); }
/// if (auto const proof = ends.proof_by_answer()) { complete(*proof); }
/// \endcode
class stream_end_record
{
public:
    /// \brief A run begins; its stream is open, and nothing was ordered for it.
    void run_begins() noexcept;
    /// \brief An order that may stop the run at an upstream is about to be written.
    void stop_ordered(state::member_key at);
    /// \brief Records what became of the oldest open order to an upstream.
    void order_ended(state::member_key at, stop_outcome outcome) noexcept;
    /// \brief The run's stream was closed in order after a whole event.
    void closed_in_order(state::member_key at) noexcept;

    [[nodiscard]] bool is_closed_in_order() const noexcept
    {
        return closed_at_.has_value();
    }
    /// \brief Returns whether the stream is whole if its process lived on after it closed it: no
    /// order may have stopped the run.
    [[nodiscard]] bool may_be_whole() const noexcept;
    /// \brief Returns the proof that an answer of the run's own process makes, to a question that
    /// was written after the close; none if an order may have stopped the run.
    [[nodiscard]] std::optional<stream_whole> proof_by_answer() const noexcept;
    /// \brief Returns how many orders of all runs may still take effect.
    [[nodiscard]] std::size_t open_orders() const noexcept
    {
        return open_.size();
    }

private:
    /// \brief Upstreams with open orders, once for each.
    std::vector<state::member_key> open_;
    /// \brief Where the run's stream was closed in order.
    std::optional<state::member_key> closed_at_;
};

} // namespace plumdale::coordination
