#pragma once

#include <plumdale/coordination/evacuation_orders.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// \file
/// \brief The upstreams of all services, merged from the platform's list and from peers.

namespace plumdale::coordination
{

/// \brief What a merge changed.
enum class directory_change : std::uint8_t
{
    none,
    listed,   ///< A start may be used, for the first time or again.
    leaving,  ///< It announced that it is leaving.
    removed,  ///< It is gone from the list.
    unusable, ///< Its entry is no longer valid: running calls continue, new ones go
              ///< elsewhere.
    cold,     ///< It became cold again without a new start.
    moved     ///< Its entry names another address, service or zone.
};

/// \brief One row of the directory.
struct directory_entry
{
    state::service_member info;
    state::time_point listed_at{};
    /// \brief When its leaving or removal was learnt here; `never` while it stays.
    state::time_point leaving_since = state::never;
    /// \brief When its removal takes effect; see `service_directory::platform_recovered`.
    state::time_point removal_effective_at = state::never;
    /// \brief Another upstream answered at its address, or it refused the connection for good.
    bool replaced = false;
    /// \brief A later start under the same name is known.
    bool superseded = false;
    /// \brief Until when it is cold by its own report.
    state::time_point cold_until{};
    /// \brief When it was listed, for the first time or again; none for those listed
    /// before this VM knew a complete list.
    std::optional<state::time_point> newly_listed_at;
};

/// \brief Digests of the buckets of a directory: equal buckets need not be exchanged. Their number
/// is a power of two between `service_directory::min_buckets` and `max_buckets`.
using bucket_digests = std::vector<std::uint64_t>;

/// \brief Rows of a directory that another one may lack.
struct differing_rows
{
    std::vector<state::service_member> members;
    /// \brief There are no more: the other directory lacks nothing beyond these.
    bool is_rest = true;
};

/// \brief Merges updates of upstreams in any order to the same result.
///
/// For each name the start counts that the newest entry states, and none before the last that the
/// upstream stated itself. For one start, the listing with the greatest revision counts, and
/// leaving is monotone.
/// \code
/// service_directory directory;
/// directory.merge(member, now);
/// if (directory.may_take_work(key, now)) { ... }
/// \endcode
class service_directory
{
public:
    /// \brief Merges one update; `member.listed` says whether it is listed or removed.
    directory_change merge(state::service_member const& member, state::time_point now);
    /// \brief Records that an upstream said itself that it leaves; a later listing doesn't undo it.
    directory_change mark_leaving(state::member_key key, state::time_point now);
    /// \brief Marks an upstream as gone, as another one answered at its address.
    void mark_replaced(state::member_key key, state::time_point now);
    /// \brief Records that the platform is reachable again after an outage. Removals of entries
    /// that lapsed meanwhile take effect after `lapse_grace`, unless the entries are listed again.
    void platform_recovered(state::time_point now) noexcept;
    /// \brief Records that all upstreams listed before this VM started are known: others are newly
    /// listed.
    void mark_complete() noexcept
    {
        is_complete_ = true;
    }
    /// \brief Records for how long an upstream reports to be cold.
    void note_cold(state::member_key key, state::duration time, state::time_point now);
    /// \brief Erases rows whose removal is older than `removed_retention`.
    void forget(state::time_point now);

    [[nodiscard]] directory_entry const* find(state::member_key key) const;
    /// \brief Returns the key of the start that counts for a name; none if there is none.
    [[nodiscard]] std::optional<state::member_key> latest(std::string_view name) const;
    /// \brief Returns whether new work may be sent to it.
    [[nodiscard]] bool may_take_work(directory_entry const& entry,
                                     state::time_point now) const noexcept;
    /// \brief Returns whether a generation whose memory it holds may go on there: it takes work, or
    /// its notice to leave is new.
    [[nodiscard]] bool may_take_resumption(directory_entry const& entry,
                                           state::time_point now) const noexcept;
    /// \brief Returns whether an operator's order keeps new work from it.
    [[nodiscard]] bool is_evacuated(directory_entry const& entry) const noexcept;
    /// \brief Returns until when it counts as cold: by its own report, after it was listed, and
    /// after its zone's evacuation.
    [[nodiscard]] state::time_point cold_until(directory_entry const& entry,
                                               state::cold_limits const& limits) const;
    /// \brief Returns whether a service has upstreams, and only operators' orders keep new work
    /// from all of them.
    [[nodiscard]] bool is_wholly_evacuated(std::string_view service, state::time_point now) const;
    /// \brief Returns the keys of a service's rows, in no order.
    [[nodiscard]] std::span<state::member_key const> members_of(std::string_view service) const;
    /// \brief Returns the keys of a service's rows in one zone, in no order.
    [[nodiscard]] std::span<state::member_key const> members_of(std::string_view service,
                                                                std::string_view zone) const;
    /// \brief Returns the listed rows as removed ones that a complete list of `names` as of
    /// `revision` lacks. Compared by name: a lagging list may still have a former start.
    [[nodiscard]] std::vector<state::service_member>
    rows_missing_in(std::unordered_set<std::string_view> const& names,
                    std::uint64_t revision) const;
    /// \brief Operators' orders that keep new work from all upstreams of a zone.
    [[nodiscard]] evacuation_orders& evacuations() noexcept
    {
        return evacuations_;
    }
    [[nodiscard]] evacuation_orders const& evacuations() const noexcept
    {
        return evacuations_;
    }
    [[nodiscard]] std::unordered_map<state::member_key, directory_entry> const&
    entries() const noexcept
    {
        return entries_;
    }
    /// \brief Returns a digest of which starts are listed, usable and leaving, and where; equal
    /// ones mean that nothing needs to be exchanged.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// \brief Returns the digest of each bucket; the hash of a row's name selects its bucket. There
    /// are as many buckets as keep about `rows_per_bucket` rows in each.
    [[nodiscard]] bucket_digests digests_by_bucket() const;
    /// \brief Returns rows of the buckets whose digests are not those in `others`, including
    /// recently removed ones: whole buckets, from a random one on, until there are `max_rows`.
    [[nodiscard]] differing_rows rows_differing_from(bucket_digests const& others,
                                                     std::size_t max_rows,
                                                     std::uint64_t random_value) const;

    /// \brief Entries that lapsed in an outage are listed again within two seconds of its end.
    static constexpr state::duration lapse_grace = std::chrono::milliseconds{2'200};
    /// \brief How long a notice to leave counts as new: an upstream serves for two seconds after
    /// the platform has it, and it is known here within one.
    static constexpr state::duration new_notice = std::chrono::milliseconds{600};
    /// \brief Limit of a cold time: otherwise a damaged entry would keep work from an upstream for
    /// good.
    static constexpr state::duration max_cold_time = std::chrono::seconds{60};
    /// \brief How long removed rows are kept for late updates; far above any datagram's delay.
    static constexpr state::duration removed_retention = std::chrono::seconds{120};
    /// \brief Rows exchanged for each one that differs.
    static constexpr std::size_t rows_per_bucket = 16;
    static constexpr std::size_t min_buckets = 64;
    static constexpr std::size_t max_buckets = 4096;

private:
    /// \brief State of a name across its starts.
    struct name_record
    {
        /// \brief The start that counts.
        state::incarnation latest;
        /// \brief Revision of the newest entry that states it.
        std::uint64_t stated_at = 0;
        /// \brief The latest start that the upstream stated itself.
        state::incarnation confirmed;
        /// \brief Revisions of the last removal and of the last unusable entry: an older listing,
        /// even of a start that isn't known yet, doesn't undo them.
        std::uint64_t removed_at = 0;
        std::uint64_t unusable_at = 0;
        state::time_point noted_at{};
    };

    [[nodiscard]] bool may_replace_start(name_record const& name,
                                         state::service_member const& member) const noexcept;
    /// \brief Returns whether most listed rows have a start.
    [[nodiscard]] bool states_starts() const noexcept
    {
        return with_start_ > without_start_;
    }
    void replace_start(name_record& name, state::service_member const& member,
                       state::time_point now);
    directory_change insert(state::service_member const& member, name_record const& name,
                            state::time_point now);
    [[nodiscard]] bool is_available(directory_entry const& entry,
                                    state::time_point now) const noexcept;
    /// \brief Returns whether the entry is its upstream's own, and counts.
    [[nodiscard]] bool is_valid(directory_entry const& entry, state::time_point now) const noexcept;
    directory_change update(directory_entry& entry, state::service_member const& member,
                            state::time_point now);
    static void note_cold(directory_entry& entry, state::service_member const& member,
                          state::time_point now);
    /// \brief Takes over a newer entry; returns whether it names another place.
    bool adopt(directory_entry& entry, state::service_member const& member);
    void supersede(state::member_key former, state::time_point now);
    void add_to_service(directory_entry const& entry, state::member_key key);
    void drop_from_service(directory_entry const& entry, state::member_key key);
    /// \brief Counts a row in, or out before it changes: for the digests and the starts.
    void include(state::service_member const& member) noexcept;
    void exclude(state::service_member const& member) noexcept;
    void toggle_digest(state::service_member const& member) noexcept;

    std::unordered_map<state::member_key, directory_entry> entries_;
    /// \brief By the key of the name alone.
    std::unordered_map<state::member_key, name_record> names_;
    /// \brief Listed and usable rows with and without a start.
    std::size_t with_start_ = 0;
    std::size_t without_start_ = 0;
    std::unordered_map<std::string, std::vector<state::member_key>> services_;
    /// \brief By service and zone.
    std::unordered_map<std::string, std::vector<state::member_key>> services_by_zone_;
    state::time_point lapse_until_{};
    evacuation_orders evacuations_;
    std::uint64_t digest_ = 0;
    bool is_complete_ = false;
    /// \brief Of `max_buckets` buckets; fewer and larger ones are made of several of these.
    bucket_digests digests_by_bucket_ = bucket_digests(max_buckets);
};

} // namespace plumdale::coordination
