#include <plumdale/coordination/generation_admission.hpp>
#include <plumdale/coordination/generation_backup.hpp>

namespace plumdale::coordination
{
namespace
{

// A backup doubles the memory of a generation; without one, an upstream that crashes, falls dark or
// goes without notice takes it along, and a notice is often too short to copy eight of them over
// one link. Beyond these shares, what is refused for want of memory is more than what is saved.
constexpr double mean_limit = 0.6;
constexpr double keeper_limit = 0.75;

} // namespace

bool wants_backup(std::uint32_t output_tokens, double mean_fullness) noexcept
{
    return output_tokens >= long_answer_tokens && mean_fullness < mean_limit;
}

bool has_room_for_backup(double fullness) noexcept
{
    return fullness <= keeper_limit;
}

} // namespace plumdale::coordination
