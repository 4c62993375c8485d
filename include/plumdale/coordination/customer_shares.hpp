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
/// \brief Weighted fair shares and hard limits of customers, by what one entry VM sees.

namespace plumdale::coordination
{

/// \brief What stands against a customer's request.
enum class share_status : std::uint8_t
{
    within_share,
    over_share, ///< It may use room that others leave, up to a stricter bound.
    over_limit  ///< A hard limit of the configuration is reached.
};

/// \brief Shares out the room that this entry VM finds.
///
/// Callers are spread over the entry VMs by the balancer, so a customer's share at each of them is
/// its share of the fleet. No entry VM asks another: fair shares are those of the local demand, and
/// a hard limit is divided by the live deciders. Used from one thread.
class customer_shares
{
public:
    /// \brief Takes over the customers of a snapshot.
    /// \param deciders Shards of all live entry VMs, between which hard limits are divided.
    void configure(std::span<state::customer const> customers, std::uint32_t dispatchers);
    /// \brief Ages what was noted and works out the shares. To be called about twice a second.
    void refresh(state::time_point now);

    /// \brief Returns where a customer stands with a request of this kind. With a question it is
    /// over its share only when its questions alone are.
    [[nodiscard]] share_status status(state::customer_id customer,
                                      state::work_kind kind) const noexcept;

    /// \brief Notes that a customer asked for about `tokens`, once a request.
    void requested(state::customer_id customer, state::work_kind kind, double tokens);
    /// \brief Notes that it was given a place with about `tokens`.
    void granted(state::customer_id customer, double tokens);
    /// \brief Notes the end of a granted place that was counted as `expected` and took `tokens`.
    void ended(state::customer_id customer, double expected, double tokens);

private:
    struct account
    {
        double weight = 1.0;
        double token_rate_limit = 0.0;
        std::uint32_t in_flight_limit = 0;
        std::uint32_t in_flight = 0;
        /// \brief Tokens asked for and granted, decayed.
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
