#include <plumdale/coordination/prefix_hints.hpp>

namespace plumdale::coordination
{

void prefix_hints::stored(std::span<std::uint64_t const> prefix, state::upstream_id engine) noexcept
{
    for (std::uint64_t const block : prefix)
    {
        table_[block % entry_count] = {block, engine};
    }
}

void prefix_hints::evicted(std::uint64_t block, state::upstream_id engine) noexcept
{
    entry& each = table_[block % entry_count];
    if (each.block == block && each.engine == engine)
    {
        each = {};
    }
}

state::upstream_id prefix_hints::find(std::span<std::uint64_t const> prefix) const noexcept
{
    for (std::size_t i = prefix.size(); i > 0; --i)
    {
        entry const& each = table_[prefix[i - 1] % entry_count];
        if (each.block == prefix[i - 1] && each.engine)
        {
            return each.engine;
        }
    }
    return {};
}

} // namespace plumdale::coordination
