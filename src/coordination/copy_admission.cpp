#include <plumdale/coordination/copy_admission.hpp>

namespace plumdale::coordination
{

bool fits(copy_request const& /*copy*/, copy_destination const& /*at*/,
          state::engine_limits const& /*engine*/) noexcept
{
    return true;
}

} // namespace plumdale::coordination
