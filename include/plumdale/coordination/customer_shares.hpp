#pragma once

#include <plumdale/state/customer.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/request.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Weighted fair shares and hard limits of customers, from one entry VM's local demand.

namespace plumdale::coordination
{

/// \brief Where a customer's usage is relative to its share and limits.
enum class share_status : std::uint8_t
{
    within_share,
    over_share, ///< It may use capacity that others leave, up to a stricter bound.
    over_limit  ///< A hard limit of the configuration is reached.
};

/// \brief Divides the capacity that this entry VM finds between customers.
///
/// Callers are spread over the entry VMs by the balancer, so a customer's share at each of them is
/// its share of the fleet. Entry VMs exchange no messages for this: fair shares come from the local
/// demand, and a hard limit is divided by the number of live dispatchers. Used from one thread.
class customer_shares
{
public:
    /// \brief Applies the customers of a snapshot.
    /// \param dispatchers Shards of all live entry VMs, between which hard limits are divided.
    void configure(std::span<state::customer const> customers, std::uint32_t dispatchers);
    /// \brief Decays the recorded demand and usage and computes the shares. To be called about
    /// twice a second.
    void refresh(state::time_point now);

    /// \brief Returns a customer's status for a request of this kind. For a question, a customer is
    /// over its share only if the demand of its questions alone exceeds the share.
    [[nodiscard]] share_status status(state::customer_id customer,
                                      state::work_kind kind) const noexcept;

    /// \brief Records that a customer requested about `tokens`; called once per request.
    void requested(state::customer_id customer, state::work_kind kind, double tokens);
    /// \brief Records that a request of the customer was admitted with about `tokens`.
    void granted(state::customer_id customer, double tokens);
    /// \brief Records the end of an admitted request that was counted as `expected` tokens and used
    /// `tokens`.
    void ended(state::customer_id customer, double expected, double tokens);

private:
    struct account
    {
        double weight = 1.0;
        double token_rate_limit = 0.0;
        std::uint32_t in_flight_limit = 0;
        std::uint32_t in_flight = 0;
        /// \brief Tokens requested and granted, decayed.
        double demand = 0.0;
        double question_demand = 0.0;
        double usage = 0.0;
        double fair_share = 0.0;
        /// \brief Tokens left under the rate limit.
        double available_tokens = 0.0;
    };

    std::unordered_map<state::customer_id, account> accounts_;
    state::time_point refreshed_{};
    std::vector<account*> sorted_accounts_;
};

} // namespace plumdale::coordination
