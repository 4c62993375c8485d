#pragma once

#include "fleet_loop.hpp"

/// \file
/// \brief Configuration that tests of the control plane publish.

namespace plumdale::testing
{

inline state::preset_id preset_named(std::string const& name)
{
    return state::id_from_name<state::preset_id>(name);
}

inline state::sha256_digest operator_key(std::uint8_t number)
{
    state::sha256_digest key{};
    key[0] = number;
    return key;
}

/// \brief Publishes three presets, one customer and operators 1 to 3; `ordinary` is in force.
inline void publish_base_configuration(fleet_loop& loop)
{
    auto const text = [](std::string value)
    {
        return std::make_shared<std::string const>(std::move(value));
    };
    std::uint64_t revision = 0;
    for (std::string const name : {"ordinary", "peak", "maintenance"})
    {
        ++revision;
        state::preset preset;
        preset.name = name;
        loop.publish(revision, preset_published{revision, preset, text(name)});
    }
    state::customer customer;
    customer.name = "frescura";
    customer.id = state::id_from_name<state::customer_id>(customer.name);
    loop.publish(4, customers_published{4, {customer}, text("customers")});
    std::vector<state::operator_account> operators;
    for (std::uint8_t i = 1; i <= 3; ++i)
    {
        operators.push_back({{i * (std::uint64_t{1} << 56U)}, std::to_string(i), operator_key(i)});
    }
    loop.publish(5, operators_published{5, operators, text("operators")});
    loop.publish(6, switch_published{6, preset_named("ordinary")});
}

} // namespace plumdale::testing
