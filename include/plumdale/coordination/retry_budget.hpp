#pragma once

#include <cstdint>

/// \file
/// \brief Limits retries to a share of first attempts.

namespace plumdale::coordination
{

/// \brief Earns a part of a retry with each first attempt and spends one with each retry.
///
/// The balance is bounded, so that a long quiet time doesn't pay for a retry storm. Example:
/// \code
/// retry_budget budget;
/// budget.first_attempt(10);               // ten retries for each hundred first attempts
/// if (budget.available()) { budget.take(); /* retry */ }
/// \endcode
class retry_budget
{
public:
    /// \brief Records a first attempt, which earns `percent` hundredths of a retry.
    void first_attempt(std::uint32_t percent) noexcept;
    /// \brief Returns whether the balance covers one retry.
    [[nodiscard]] bool available() const noexcept;
    /// \brief Spends one retry.
    void take() noexcept;

private:
    /// \brief Hundredths of a retry, so that earning and spending are exact.
    static constexpr std::uint32_t one_retry = 100;
    static constexpr std::uint32_t max_balance = 20 * one_retry;
    static constexpr std::uint32_t initial_balance = 5 * one_retry;
    std::uint32_t balance_ = initial_balance;
};

} // namespace plumdale::coordination
