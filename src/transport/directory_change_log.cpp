#include "directory_change_log.hpp"

#include <plumdale/state/store_position.hpp>

#include <algorithm>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part = "directory";

// In the order of `directory_change`.
constexpr std::array<std::string_view, 7> decisions{
    "upstream unchanged",        "upstream listed",     "upstream leaving", "upstream removed",
    "upstream's entry unusable", "upstream cold again", "upstream moved"};

} // namespace

void directory_change_log::add(coordination::directory_change change,
                               state::service_member const& member, std::string_view source)
{
    batch& into = batches_[static_cast<std::size_t>(change)];
    if (into.count < max_names)
    {
        into.names += into.names.empty() ? "" : " ";
        into.names += member.name;
        if (member.started.value != 0)
        {
            into.names += '/' + std::to_string(member.started.value);
        }
    }
    ++into.count;
    into.revision = std::max(into.revision, member.revision);
    if (into.source != source)
    {
        into.source += into.source.empty() ? "" : " ";
        into.source += into.source.find(source) == std::string::npos ? source : "";
    }
}

void directory_change_log::flush(std::uint64_t digest, state::time_point now)
{
    for (std::size_t kind = 0; kind < batches_.size(); ++kind)
    {
        batch& from = batches_[kind];
        if (from.count != 0 && from.written + line_interval <= now)
        {
            write(kind, from, digest);
            from = {};
            from.written = now;
        }
    }
}

void directory_change_log::write(std::size_t kind, batch& from, std::uint64_t digest)
{
    log_.write(part, decisions[kind], {},
               {{"upstream", from.names},
                {"count", static_cast<std::int64_t>(from.count)},
                {"revision", static_cast<std::int64_t>(state::revision_in(from.revision))},
                {"source", from.source},
                {"digest", std::to_string(digest)}});
}

} // namespace plumdale::transport
