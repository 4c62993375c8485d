#pragma once

#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Estimates how much longer an output of unknown length will get.

namespace plumdale::coordination
{

/// \brief What the length of an output depends on.
struct length_key
{
    state::customer_id customer;
    state::model_id model;
    state::work_kind kind = state::work_kind::question;

    friend bool operator==(length_key const&, length_key const&) noexcept = default;
};

/// \brief Learns the distribution of output lengths online, as a hazard for each range of lengths.
///
/// Every running output counts, also before it ends. The first short answers therefore don't bias
/// the estimate, and a cancelled output counts up to the length that it reached. Memory is bounded:
/// keys beyond `capacity` share the estimate of their model and kind. Example:
/// \code
/// length_estimator lengths{1000};
/// auto const estimate = lengths.open({customer, model, state::work_kind::draft});
/// std::uint32_t const seen = lengths.advance(estimate, 0, 120);  // the output has 120 tokens now
/// lengths.survival(estimate, 120, 500);  // chance that it gets more than 500 further ones
/// lengths.finish(estimate, 130);
/// lengths.close(estimate);
/// \endcode
class length_estimator
{
public:
    using estimate_id = std::uint32_t;

    /// \brief Holds at most `capacity` keys, plus one estimate for each model and kind.
    explicit length_estimator(std::size_t capacity);

    /// \brief Returns the estimate of a key and keeps it until `close`.
    [[nodiscard]] estimate_id open(length_key const& key);
    /// \brief Releases an estimate; it is kept until another key needs its place.
    void close(estimate_id id) noexcept;

    /// \brief Records that an output of this estimate grew from `from` to `to` tokens.
    void advance(estimate_id estimate, std::uint32_t from, std::uint32_t to) noexcept;
    /// \brief Records that an output of this estimate ended by itself after `tokens` tokens.
    void finish(estimate_id estimate, std::uint32_t tokens) noexcept;

    /// \brief Returns the chance that an output of `so_far` tokens gets more than `more` further
    /// ones, 0 to 1.
    [[nodiscard]] double survival(estimate_id estimate, std::uint32_t so_far,
                                  double more) const noexcept;
    /// \brief Returns the expected number of further tokens, counting at most `within`.
    [[nodiscard]] double expected_remaining(estimate_id estimate, std::uint32_t so_far,
                                            double within) const noexcept;

    /// \brief Returns the number of estimates held.
    [[nodiscard]] std::size_t size() const noexcept;
    /// \brief Returns the memory of one estimate in bytes.
    [[nodiscard]] static constexpr std::size_t estimate_bytes() noexcept;

private:
    static constexpr std::size_t buckets = 52;

    struct estimate
    {
        length_key key;
        estimate_id parent = 0;
        std::uint32_t open = 0;
        std::uint64_t last_used = 0;
        /// \brief Outputs that entered each range, and how many of them ended in it; both decayed.
        std::array<float, buckets> entered{};
        std::array<float, buckets> ended{};
        /// \brief Chance that an output that enters a range ends in it, as of the last rebuild.
        std::array<float, buckets> hazard{};
        std::uint32_t changes = 0;
    };

    struct key_hash
    {
        std::size_t operator()(length_key const& key) const noexcept;
    };

    [[nodiscard]] estimate_id parent_of(length_key const& key);
    [[nodiscard]] estimate_id insert(length_key const& key, estimate_id parent);
    [[nodiscard]] estimate_id least_recently_used() const noexcept;
    void rebuild_if_due(estimate& each) noexcept;
    void rebuild(estimate& each) const noexcept;
    /// \brief Returns the chance that an output ends with the next token, the same at any length.
    [[nodiscard]] static double ending_rate(estimate const& each) noexcept;
    static void enter(estimate& each, std::size_t bucket, float limit) noexcept;
    static std::size_t bucket_of(std::uint32_t tokens) noexcept;

    std::size_t capacity_;
    std::uint64_t uses_ = 0;
    std::size_t keys_ = 0;
    std::vector<estimate> estimates_;
    std::unordered_map<length_key, estimate_id, key_hash> index_;
};

constexpr std::size_t length_estimator::estimate_bytes() noexcept
{
    return sizeof(estimate);
}

} // namespace plumdale::coordination
