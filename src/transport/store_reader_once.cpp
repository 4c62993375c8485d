#include "store_page_merge.hpp"
#include "store_reader.hpp"

#include <memory>
#include <utility>

// How a VM that is no reader reads the store once; store_reader.cpp has what readers do. These
// reads are not counted as a reader's: peers would take this VM for one, and a reader would give up
// reading.

namespace plumdale::transport
{
namespace
{

using protocol::read_consistency;

constexpr std::string_view part = "store";

} // namespace

struct store_reader::single_read
{
    protocol::store_page operator_entries;
    list_progress list;
};

void store_reader::read_all_once()
{
    if (!std::exchange(reading_all_once_, true))
    {
        read_operator_entries_once(std::make_shared<single_read>(), {});
    }
}

void store_reader::read_operator_entries_once(std::shared_ptr<single_read> const& progress,
                                              std::string const& page)
{
    call(core_.dialect.operator_entries_target(read_consistency::current, page), answer_timeout,
         [this, progress](state::result<fetch_answer> const& answer)
         {
             auto read = parse_page(answer, read_consistency::current);
             if (!read)
             {
                 return end_single_read("not read once", 0);
             }
             add_operator_page(progress->operator_entries, std::move(read).value());
             progress->operator_entries.next_page.empty()
                 ? read_list_once(progress, {})
                 : read_operator_entries_once(progress, progress->operator_entries.next_page);
         });
}

void store_reader::read_list_once(std::shared_ptr<single_read> const& progress,
                                  std::string const& page)
{
    call(core_.dialect.member_list_target(read_consistency::current, page), answer_timeout,
         [this, progress](state::result<fetch_answer> const& answer)
         {
             auto const read = parse_page(answer, read_consistency::current);
             if (!read)
             {
                 return end_single_read("not read once", 0);
             }
             add_page(progress->list, read.value());
             progress->list.next_page.empty() ? apply_single_read(*progress)
                                              : read_list_once(progress, progress->list.next_page);
         });
}

void store_reader::apply_single_read(single_read& progress)
{
    core_.apply_evacuations(evacuations_in(progress.operator_entries, read_consistency::current),
                            part);
    if (!progress.operator_entries.configuration.empty())
    {
        core_.apply_configuration(std::move(progress.operator_entries.configuration), part);
    }
    std::size_t const unreported = core_.unreported.size();
    bool const is_complete = reread_at_ == state::never;
    core_.apply_list(progress.list.members, progress.list.unusable,
                     is_complete ? progress.list.revision : 0, part);
    // Its peers know them, or read them as well.
    core_.unreported.resize(unreported);
    end_single_read("read once", progress.list.members.size());
}

void store_reader::end_single_read(std::string_view decision, std::size_t rows)
{
    reading_all_once_ = false;
    core_.log.write(part, decision, {}, {{"rows", static_cast<std::int64_t>(rows)}});
}

} // namespace plumdale::transport
