#include <plumdale/coordination/generation_admission.hpp>
#include <plumdale/coordination/generation_backup.hpp>

namespace plumdale::coordination
{
namespace
{

// A backup doubles the memory of a generation; without one, an upstream that crashes, falls dark or
// goes without notice takes it along, and a notice is often too short to copy eight of them over
// one link. Beyond these shares, what is refused for want of memory is more than what is saved.
constexpr double max_mean_fullness = 0.6;
constexpr double max_backup_fullness = 0.75;

} // namespace

bool should_back_up(std::uint32_t output_tokens, double mean_fullness) noexcept
{
    return output_tokens >= long_answer_tokens && mean_fullness < max_mean_fullness;
}

bool has_capacity_for_backup(double fullness) noexcept
{
    return fullness <= max_backup_fullness;
}

} // namespace plumdale::coordination
