#pragma once

#include <plumdale/state/customer.hpp>
#include <plumdale/state/identifier.hpp>

#include <string>

/// \file
/// \brief An operator as the configuration describes it.

namespace plumdale::state
{

/// \brief An account that may switch presets, and its credential.
struct operator_account
{
    operator_id id;
    std::string name;
    sha256_digest key{};
};

} // namespace plumdale::state
