#include <plumdale/coordination/generation_backup.hpp>

namespace plumdale::coordination
{
namespace
{

// A backup doubles the memory of a generation. Without one, an upstream that crashes, becomes
// unreachable or leaves without notice loses it, and a notice is often too short to copy eight
// generations over one link. Above these shares, backups cause more refusals than they prevent
// losses.
constexpr double max_mean_fullness = 0.6;
constexpr double max_backup_fullness = 0.75;

} // namespace

bool should_back_up(std::uint32_t output_tokens, double mean_fullness) noexcept
{
    return output_tokens >= min_backed_up_tokens && mean_fullness < max_mean_fullness;
}

bool has_capacity_for_backup(double fullness) noexcept
{
    return fullness <= max_backup_fullness;
}

} // namespace plumdale::coordination
