#pragma once

#include <cstdint>

/// \file
/// \brief Keeps retries at a share of first attempts.

namespace plumdale::coordination
{

/// \brief Earns a part of a retry with each first attempt and spends one with each retry.
///
/// The balance is bounded, so that a long quiet time doesn't pay for a storm. Example:
/// \code
/// retry_budget budget;
/// budget.first_attempt(10);               // ten retries for each hundred first attempts
/// if (budget.available()) { budget.take(); /* retry */ }
/// \endcode
class retry_budget
{
public:
    /// \brief Notes a first attempt that earns `percent` hundredths of a retry.
    void first_attempt(std::uint32_t percent) noexcept;
    /// \brief Returns whether one retry is paid for.
    [[nodiscard]] bool available() const noexcept;
    /// \brief Spends one retry.
    void take() noexcept;

private:
    /// \brief Hundredths of a retry, so that earning and spending is exact.
    static constexpr std::uint32_t one_retry = 100;
    static constexpr std::uint32_t max_balance = 20 * one_retry;
    static constexpr std::uint32_t initial_balance = 5 * one_retry;
    std::uint32_t balance_ = initial_balance;
};

} // namespace plumdale::coordination
