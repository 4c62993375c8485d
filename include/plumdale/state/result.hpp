#pragma once

#include <plumdale/state/error_kind.hpp>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <string>

/// \file
/// \brief Results that carry either a value or a failure of a known kind.

namespace plumdale::state
{

/// \brief Why an operation failed: a kind of the closed list and a sentence of detail.
struct failure
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

/// \brief A value or a failure. Accessing the wrong one terminates the process.
template <class T>
using result = boost::outcome_v2::basic_result<T, failure, boost::outcome_v2::policy::terminate>;

} // namespace plumdale::state
