#include "directory_exchange.hpp"

#include "boot_clock.hpp"
#include "milliseconds.hpp"

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/fleet_codec.hpp>

#include <boost/asio/io_context.hpp>

#include <utility>

namespace plumdale::transport
{
namespace
{

using coordination::directory_copy;
using coordination::repair_reason;
using coordination::vm_digests;

constexpr std::string_view part = "fleet";
constexpr unsigned success = 200;
constexpr std::chrono::milliseconds peer_timeout{700};
constexpr std::chrono::seconds difference_log_interval{1};

state::result<directory_copy> read_copy(state::result<fetch_answer> const& answer)
{
    if (!answer)
    {
        return answer.error();
    }
    if (answer.value().status != success)
    {
        return state::failure{state::error_kind::connection_failed,
                              std::to_string(answer.value().status)};
    }
    return protocol::decode_directory_copy(answer.value().body);
}

} // namespace

directory_exchange::directory_exchange(forward_core& core, directory_callbacks callbacks)
    : core_{core}, callbacks_{std::move(callbacks)}, repair_{core.fleet, core.random}
{
}

void directory_exchange::refresh(state::time_point now)
{
    core_.metrics.add(forward_count::refreshes);
    repair_.begin_refresh(now);
}

void directory_exchange::advance(state::time_point now)
{
    log_lasting_difference(now);
    bool const has_list = core_.coverage == list_coverage::whole;
    while (auto const due = repair_.next(has_list, now))
    {
        perform(*due);
    }
}

void directory_exchange::perform(coordination::repair_step const& step)
{
    if (!step.peer)
    {
        return read_store(step.reason);
    }
    step.reason == repair_reason::check ? check(*step.peer) : request_rows(*step.peer, step.reason);
}

void directory_exchange::check(state::endpoint peer)
{
    fetch_request request;
    request.address = peer;
    request.target = check_target;
    request.timeout = peer_timeout;
    fetch(core_.context, std::move(request),
          [this, peer](state::result<fetch_answer> const& answer)
          {
              core_.traffic.add_received(message_kind::directory,
                                         answer ? answer.value().body.size() : 0);
              bool const is_success = answer && answer.value().status == success;
              auto const theirs = is_success ? protocol::decode_vm_digests(answer.value().body,
                                                                           core_.settings.fleet_key)
                                             : state::result<vm_digests>{state::failure{}};
              if (theirs)
              {
                  return compare(peer, theirs.value());
              }
              repair_.answered(repair_reason::check, false, false, boot_now());
          });
}

void directory_exchange::compare(state::endpoint peer, vm_digests const& theirs)
{
    vm_digests const own = own_digests();
    callbacks_.on_checked(peer, theirs);
    if (theirs.directory != own.directory || theirs.evacuations != own.evacuations)
    {
        return request_rows(peer, repair_reason::check);
    }
    repair_.answered(repair_reason::check, true, false, boot_now());
}

vm_digests directory_exchange::own_digests() const
{
    return {core_.directory.digest(), core_.directory.evacuations().digest(),
            core_.quarantine.known().digest(), core_.version()};
}

std::string directory_exchange::answer_to_check() const
{
    std::string answer = protocol::encode(own_digests(), core_.settings.fleet_key);
    core_.traffic.add_sent(message_kind::directory, answer.size());
    return answer;
}

// A reader follows the store anyway.
void directory_exchange::read_store(repair_reason reason)
{
    if (core_.fleet.is_reader())
    {
        return;
    }
    core_.metrics.add(forward_count::store_fallbacks);
    core_.log.write(part, "reads the store", {},
                    {{"why", to_text(reason)}, {"own", std::to_string(core_.directory.digest())}});
    callbacks_.read_store();
}

void directory_exchange::log_lasting_difference(state::time_point now)
{
    auto const found = core_.fleet.find_lasting_difference(now);
    bool const is_due = found && (found->directory != logged_directory_ || !found->is_behind) &&
                        difference_logged_at_ + difference_log_interval <= now;
    if (!is_due)
    {
        return;
    }
    logged_directory_ = found->directory;
    difference_logged_at_ = now;
    core_.log.write(part, "reader's directory differs", {},
                    {{"reader", std::to_string(found->reader.value)},
                     {"theirs", std::to_string(found->directory)},
                     {"own", std::to_string(core_.directory.digest())},
                     {"taken_for", found->is_behind ? "behind" : "ahead"},
                     {"ms", whole_milliseconds(now - found->since)}});
}

// This VM lacks only some rows; hundreds that fetched the whole list from one peer filled its link
// for longer than any of them waited.
void directory_exchange::request_rows(state::endpoint peer, repair_reason reason)
{
    fetch_request request;
    request.address = peer;
    request.method = "POST";
    request.target = target;
    request.body = protocol::encode(core_.directory.digests_by_bucket());
    request.timeout = peer_timeout;
    core_.traffic.add_sent(message_kind::directory, request.body.size());
    fetch(core_.context, std::move(request),
          [this, peer, reason](state::result<fetch_answer> const& answer)
          {
              core_.traffic.add_received(message_kind::directory,
                                         answer ? answer.value().body.size() : 0);
              auto const copy = read_copy(answer);
              bool const is_new = copy && apply(copy.value());
              log_answer(peer, reason, copy, is_new);
              repair_.answered(reason, copy.has_value(), is_new, boot_now());
          });
}

void directory_exchange::log_answer(state::endpoint peer, repair_reason reason,
                                    state::result<directory_copy> const& copy, bool is_new)
{
    if (!copy)
    {
        core_.log.write(part, "peer gave no directory", {},
                        {{"peer", protocol::to_text(peer)},
                         {"why", to_text(reason)},
                         {"detail", copy.error().detail}});
        return;
    }
    core_.log.write(part, "rows received", {},
                    {{"peer", protocol::to_text(peer)},
                     {"why", to_text(reason)},
                     {"rows", static_cast<std::int64_t>(copy.value().members.size())},
                     {"changed", is_new ? 1 : 0},
                     {"rest", copy.value().is_rest ? 1 : 0}});
}

// A peer of an earlier version answers with a whole list and its revision.
bool directory_exchange::apply(directory_copy const& copy)
{
    core_.apply_evacuations(copy.evacuations, part);
    std::uint64_t const before = core_.directory.digest();
    std::size_t const unreported = core_.unreported.size();
    if (copy.revision != 0)
    {
        core_.apply_list(copy.members, {}, copy.revision, part);
    }
    else if (!copy.members.empty())
    {
        core_.apply_list_part(copy.members, {}, part);
    }
    // The other VMs receive them by broadcast or request them as well.
    core_.unreported.resize(unreported);
    if (copy.is_rest)
    {
        core_.mark_list_whole();
    }
    return core_.directory.digest() != before;
}

// A peer that sends its digests gets rows that differ; one that sends none, of an earlier version,
// gets the whole list.
directory_copy directory_exchange::copy_for(std::string_view request_body)
{
    directory_copy copy;
    copy.evacuations = core_.directory.evacuations().known();
    if (auto const digests = protocol::decode_bucket_digests(request_body))
    {
        auto rows = core_.directory.rows_differing_from(digests.value(), max_rows, core_.random());
        copy.members = std::move(rows.members);
        copy.is_rest = rows.is_rest && core_.coverage == list_coverage::whole;
        return copy;
    }
    copy.revision = core_.list_revision;
    for (auto const& [key, entry] : core_.directory.entries())
    {
        copy.members.push_back(entry.info);
    }
    return copy;
}

std::string directory_exchange::answer_to(std::string_view request_body)
{
    std::string answer = protocol::encode(copy_for(request_body));
    core_.traffic.add_received(message_kind::directory, request_body.size());
    core_.traffic.add_sent(message_kind::directory, answer.size());
    return answer;
}

} // namespace plumdale::transport
