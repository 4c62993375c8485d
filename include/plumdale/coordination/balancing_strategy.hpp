#pragma once

#include <plumdale/coordination/fleet_snapshot.hpp>

#include <cstdint>
#include <random>
#include <span>

/// \file
/// \brief Simple strategies to choose among upstreams that have capacity; baselines for benchmarks.

namespace plumdale::coordination
{

/// \brief Chooses one of several upstreams.
class balancing_strategy
{
public:
    balancing_strategy() = default;
    balancing_strategy(balancing_strategy const&) = delete;
    balancing_strategy& operator=(balancing_strategy const&) = delete;
    virtual ~balancing_strategy() = default;

    /// \brief Returns one of `candidates`, of which there is at least one.
    [[nodiscard]] virtual upstream_view const*
    choose(std::span<upstream_view const* const> candidates) = 0;
};

/// \brief Chooses the upstreams in turn.
class round_robin final : public balancing_strategy
{
public:
    [[nodiscard]] upstream_view const*
    choose(std::span<upstream_view const* const> candidates) override;

private:
    std::size_t next_ = 0;
};

/// \brief Chooses the upstream with the fewest streams of this entry VM.
class least_connections final : public balancing_strategy
{
public:
    [[nodiscard]] upstream_view const*
    choose(std::span<upstream_view const* const> candidates) override;
};

/// \brief Chooses the upstream whose report shows the least memory in use.
class least_reported_load final : public balancing_strategy
{
public:
    [[nodiscard]] upstream_view const*
    choose(std::span<upstream_view const* const> candidates) override;
};

/// \brief Chooses, of two random upstreams, the one whose report shows less memory in use.
class two_choices final : public balancing_strategy
{
public:
    explicit two_choices(std::uint64_t seed);
    [[nodiscard]] upstream_view const*
    choose(std::span<upstream_view const* const> candidates) override;

private:
    std::minstd_rand random_;
};

/// \brief Returns the fraction of an upstream's memory that its report shows in use; 0 without
/// a report.
[[nodiscard]] double reported_utilization(upstream_gauge const& gauge) noexcept;

} // namespace plumdale::coordination
