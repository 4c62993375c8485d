#pragma once

#include <plumdale/coordination/evacuation_orders.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The upstreams of all services, joined from the platform's list and from peers.

namespace plumdale::coordination
{

/// \brief What a join changed.
enum class directory_change : std::uint8_t
{
    none,
    listed,   ///< A start may be used, for the first time or again.
    leaving,  ///< It announced that it is leaving.
    removed,  ///< It is gone from the list.
    unusable, ///< Its entry can't be believed any more: calls that run go on, new ones go
              ///< elsewhere.
    cold      ///< It became cold again without a new start.
};

/// \brief One row of the directory.
struct directory_entry
{
    state::service_member info;
    state::time_point listed_at{};
    /// \brief When its leaving or removal was learnt here; `never` while it stays.
    state::time_point leaving_since = state::never;
    /// \brief Its removal counts from here on; see `service_directory::platform_recovered`.
    state::time_point removal_effective_at = state::never;
    /// \brief Seen at the address of another upstream, or refused the connection for good.
    bool replaced = false;
    /// \brief A later start under the same name is known.
    bool superseded = false;
    /// \brief Until when it said that it is cold.
    state::time_point cold_until{};
    /// \brief When it was listed, for the first time or again; none for those that were there
    /// before this VM knew of any.
    std::optional<state::time_point> newly_listed_at;
};

/// \brief Digests of the parts of a directory: parts that are equal need not be exchanged.
using bucket_digests = std::array<std::uint64_t, 64>;

/// \brief Joins news of upstreams in any order to the same result.
///
/// Of each name the latest start counts. Of one start, what is listed joins by the greatest
/// revision, and leaving is monotone. Example:
/// \code
/// service_directory directory;
/// directory.join(member, now);
/// if (directory.may_take_work(key, now)) { ... }
/// \endcode
class service_directory
{
public:
    /// \brief Joins one piece of news; `member.listed` says whether it is listed or removed.
    directory_change merge(state::service_member const& member, state::time_point now);
    /// \brief Another upstream answered at this one's address: it is gone.
    void mark_replaced(state::member_key key, state::time_point now);
    /// \brief The platform is reachable again after an outage. Upstreams whose entries lapsed
    /// meanwhile have until `lapse_grace` to come back before their removal counts.
    void platform_recovered(state::time_point now) noexcept;
    /// \brief All that were listed before this VM started are known: others that come are fresh.
    void mark_complete() noexcept
    {
        is_complete_ = true;
    }
    /// \brief An upstream said for how long it is cold.
    void note_cold(state::member_key key, state::duration time, state::time_point now);
    /// \brief Removes rows that were removed long ago.
    void forget(state::time_point now);

    [[nodiscard]] directory_entry const* find(state::member_key key) const;
    /// \brief Returns the key of the latest start known of a name; none if there is none.
    [[nodiscard]] std::optional<state::member_key> latest(std::string_view name) const;
    /// \brief Returns whether new work may be sent to it.
    [[nodiscard]] bool may_take_work(directory_entry const& entry,
                                     state::time_point now) const noexcept;
    /// \brief Returns whether an operator's order keeps new work from it.
    [[nodiscard]] bool is_evacuated(directory_entry const& entry) const noexcept;
    /// \brief Returns until when it is taken for cold: by its own word, after it was listed, and
    /// after its zone's evacuation.
    [[nodiscard]] state::time_point cold_until(directory_entry const& entry,
                                               state::cold_limits const& limits) const;
    /// \brief Returns whether a service has upstreams, and an operator's orders alone keep new
    /// work from all of them.
    [[nodiscard]] bool is_wholly_evacuated(std::string_view service, state::time_point now) const;
    /// \brief Returns the keys of a service's rows, in no order.
    [[nodiscard]] std::span<state::member_key const> members_of(std::string_view service) const;
    /// \brief Orders of operators, by which upstreams of whole zones get nothing.
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
    /// \brief Returns a digest of which starts are listed, usable and leaving; equal ones mean that
    /// nothing is to be exchanged.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

    /// \brief Returns the digest of each part, by the names' hashes.
    [[nodiscard]] bucket_digests const& digests_by_bucket() const noexcept
    {
        return digests_by_bucket_;
    }
    /// \brief Returns the rows of the parts whose digests are not those in `others`, those that
    /// were removed lately among them.
    [[nodiscard]] std::vector<state::service_member>
    rows_differing_from(bucket_digests const& others) const;

    /// \brief Entries that lapsed in an outage are back within two seconds of its end.
    static constexpr state::duration lapse_grace = std::chrono::milliseconds{2'200};
    /// \brief No upstream is cold for longer: a damaged entry would keep work from it for good.
    static constexpr state::duration max_cold_time = std::chrono::seconds{60};
    /// \brief Removed rows are kept for stragglers' news; far above any datagram's delay.
    static constexpr state::duration removed_retention = std::chrono::seconds{120};

private:
    /// \brief What is known of a name, whatever its starts.
    struct name_record
    {
        state::incarnation latest;
        /// \brief Revisions of the last removal and of the last unusable entry: an older listing,
        /// even of a start that isn't known yet, doesn't take them back.
        std::uint64_t removed_at = 0;
        std::uint64_t unusable_at = 0;
        state::time_point noted_at{};
    };

    directory_change insert(state::service_member const& member, name_record const& name,
                            state::time_point now);
    [[nodiscard]] bool is_available(directory_entry const& entry,
                                    state::time_point now) const noexcept;
    directory_change update(directory_entry& entry, state::service_member const& member,
                            state::time_point now);
    static void note_cold(directory_entry& entry, state::service_member const& member,
                          state::time_point now);
    void adopt(directory_entry& entry, state::service_member const& member);
    void supersede(state::member_key former, state::time_point now);
    void drop_from_service(directory_entry const& entry, state::member_key key);
    void toggle_digest(state::service_member const& member) noexcept;

    std::unordered_map<state::member_key, directory_entry> entries_;
    /// \brief By the key of the name alone.
    std::unordered_map<state::member_key, name_record> names_;
    /// \brief Upstreams here tell their starts, so an entry without one is not an upstream's own.
    bool starts_reported_ = false;
    std::unordered_map<std::string, std::vector<state::member_key>> services_;
    state::time_point lapse_until_{};
    evacuation_orders evacuations_;
    std::uint64_t digest_ = 0;
    bool is_complete_ = false;
    bucket_digests digests_by_bucket_{};
};

} // namespace plumdale::coordination
