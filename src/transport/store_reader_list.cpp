#include "boot_clock.hpp"
#include "store_reader.hpp"

#include <plumdale/state/store_position.hpp>

#include <algorithm>
#include <cstddef>
#include <utility>

// How the list of upstreams is read page by page; store_reader.cpp has when it is read.

namespace plumdale::transport
{
namespace
{

constexpr std::string_view part = "store";

} // namespace

// A page that fails is read again, not the list: when hundreds of VMs start at once, the store's
// link is full for longer than an answer may take, and VMs that began again never had a whole list.
void store_reader::read_list(protocol::read_consistency consistency)
{
    if (list_.next_page.empty() || list_.consistency != consistency)
    {
        list_ = {};
        list_.consistency = consistency;
    }
    state::time_point const asked_at = boot_now();
    bool const is_urgent = consistency == protocol::read_consistency::current;
    read(core_.dialect.member_list_target(consistency, list_.next_page),
         is_urgent ? answer_timeout : list_page_timeout,
         [this, consistency, asked_at, is_urgent](state::result<fetch_answer> const& answer)
         {
             auto const page = parse_page(answer, consistency);
             if (!page)
             {
                 return failed("list", answer);
             }
             succeeded(consistency);
             apply_list_page(page.value());
             if (list_.next_page.empty())
             {
                 return apply_list();
             }
             // Calls are served from the first page on. The pages after it leave the store's link
             // to those that have none yet.
             is_urgent ? read_list(consistency) : schedule_step(boot_now() - asked_at);
         });
}

void store_reader::add_page(list_progress& whole, protocol::store_page const& page)
{
    whole.revision = whole.revision == 0 ? page.revision : whole.revision;
    whole.members.insert(whole.members.end(), page.members.begin(), page.members.end());
    whole.unusable.insert(whole.unusable.end(), page.unusable.begin(), page.unusable.end());
    whole.next_page = page.next_page;
    ++whole.page_count;
}

void store_reader::apply_list_page(protocol::store_page const& page)
{
    add_page(list_, page);
    bool const is_last = list_.next_page.empty();
    if (list_.consistency == protocol::read_consistency::allow_stale && !is_last)
    {
        std::size_t const unreported = core_.unreported.size();
        core_.apply_list_part(page.members, page.unusable, part);
        withhold_from_peers(unreported);
    }
}

void store_reader::withhold_from_peers(std::size_t begin)
{
    auto const first = core_.unreported.begin() + static_cast<std::ptrdiff_t>(begin);
    core_.unreported_at_start.insert(core_.unreported_at_start.end(), first,
                                     core_.unreported.end());
    core_.unreported.resize(begin);
}

void store_reader::apply_list()
{
    list_progress const list = std::exchange(list_, {});
    std::size_t const unreported = core_.unreported.size();
    // What a store restored from a copy lacks may be written again; what it still lacks when it is
    // read once more is gone. Pages that lag are of different moments, and a peer may have reported
    // an upstream that started between them: it would be taken for gone.
    bool const is_of_one_moment =
        list.consistency == protocol::read_consistency::current || list.page_count == 1;
    bool const is_complete = reread_at_ == state::never && is_of_one_moment;
    core_.apply_list(list.members, list.unusable, is_complete ? list.revision : 0, part);
    if (list.consistency == protocol::read_consistency::allow_stale)
    {
        withhold_from_peers(unreported);
    }
    else
    {
        synced_ = true;
        // The configuration was read first; the watch reports what changed in between.
        watch_revision_ = std::min(watch_revision_, state::revision_in(list.revision));
    }
    step();
}

} // namespace plumdale::transport
