#include "unreadable_entry_log.hpp"

#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::transport
{

void unreadable_entry_log::add(protocol::unusable_entry const& entry, std::string_view source)
{
    auto const known = written_.find(entry.name);
    if (known != written_.end() && known->second == entry.revision)
    {
        return;
    }
    if (written_.size() >= max_remembered)
    {
        written_.clear();
    }
    written_.insert_or_assign(entry.name, entry.revision);
    if (count_ == 0)
    {
        first_reason_ = entry.reason;
        source_ = source;
    }
    if (count_ < max_names)
    {
        names_ += names_.empty() ? "" : " ";
        names_ += entry.name;
    }
    ++count_;
    newest_revision_ = std::max(newest_revision_, entry.revision);
}

void unreadable_entry_log::flush(state::time_point now)
{
    if (count_ == 0 || now < written_at_ + line_interval)
    {
        return;
    }
    written_at_ = now;
    log_.write("directory", "entry unreadable", {},
               {{"upstream", std::exchange(names_, {})},
                {"field", first_reason_},
                {"count", static_cast<std::int64_t>(std::exchange(count_, 0))},
                {"revision",
                 static_cast<std::int64_t>(state::revision_in(std::exchange(newest_revision_, 0)))},
                {"source", source_}});
}

} // namespace plumdale::transport
