#pragma once

#include <plumdale/protocol/message_head.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/evacuation.hpp>
#include <plumdale/state/result.hpp>
#include <plumdale/state/routing_configuration.hpp>
#include <plumdale/state/service_member.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief What the forwarding daemon needs of a platform's wire format.

namespace plumdale::protocol
{

/// \brief How new an answer of the platform's store has to be.
enum class read_consistency : std::uint8_t
{
    current,
    allow_stale ///< By seconds; costs a tenth and does not count toward the rate limit.
};

/// \brief What a caller's head says to the system.
struct call_headers
{
    /// \brief Identifies this attempt; empty when it is missing.
    std::string id;
    /// \brief How long the caller waits.
    std::optional<state::duration> time_left;
    std::string key;
    std::uint32_t prompt_tokens = 0;
    /// \brief Most tokens that the answer may have; zero for plain calls.
    std::uint32_t output_limit = 0;
    /// \brief The caller's estimate of the answer's tokens; right at the median, often far off.
    std::uint32_t output_hint = 0;
};

/// \brief Where a generation goes on that began elsewhere.
struct resume_point
{
    /// \brief Upstream that made the copy, or that holds a backup.
    state::endpoint holder;
    std::string handle;
    /// \brief The last whole event that reached this entry VM.
    std::uint64_t last_event = 0;
};

/// \brief What the system adds to a call that it passes on.
struct system_headers
{
    state::duration time_left{};
    /// \brief Incarnation that is meant; any other refuses the call.
    std::string member;
    /// \brief Empty when the call has no customer.
    std::string customer;
    std::optional<unsigned> priority;
    std::optional<resume_point> resume_from;
    /// \brief Upstream that keeps a copy of the generation's memory as it grows.
    std::optional<state::endpoint> backup;
};

/// \brief What an upstream's head says to the system.
struct answer_headers
{
    std::string id;
    /// \brief Carries the upstream's signature, without which a success doesn't count.
    bool is_signed = false;
    /// \brief The upstream states that the call did not run.
    bool not_run = false;
    /// \brief Another incarnation has this address now.
    bool misdirected = false;
    /// \brief The body has a coding that nobody asked for.
    bool encoded = false;
    bool closes = false;
    /// \brief How long the upstream keeps the idle connection, when it says so.
    std::optional<state::duration> keep_alive;
    /// \brief How long the upstream stays cold, when it says so.
    std::optional<state::duration> cold_for;
    /// \brief Requests a second that it takes from all entry VMs together, while it says so.
    std::optional<double> request_limit;
    bool is_event_stream = false;
};

/// \brief An entry of the platform's list that can't be believed: another writer's, or damaged.
struct unusable_entry
{
    /// \brief Name of the upstream under which it stands.
    std::string name;
    std::uint64_t revision = 0;
    /// \brief What is wrong with it, for the log.
    std::string_view reason;
};

/// \brief An order of evacuation, given or taken back.
struct evacuation_order
{
    std::string zone;
    state::evacuation_change change;
};

/// \brief A read of the platform's store.
struct store_page
{
    /// \brief The newest configuration in the page, as published; empty if there is none.
    std::string configuration;
    std::vector<state::service_member> members;
    /// \brief Entries that name no upstream to use; the others hold.
    std::vector<unusable_entry> unusable;
    std::vector<evacuation_order> orders;
    /// \brief The store's revision when it answered.
    std::uint64_t revision = 0;
    /// \brief The greatest revision of what the page holds.
    std::uint64_t newest_revision = 0;
    /// \brief The next page of a list begins behind this key; empty at the end.
    std::string next_page;
};

/// \brief Answer of an upstream to the order to copy a generation's memory.
struct copy_answer
{
    std::string handle;
    /// \brief Events that the generation had made.
    std::uint64_t events = 0;
};

/// \brief What an upstream says of itself.
struct member_report
{
    /// \brief Time until it is taken away, when it knows.
    std::optional<state::duration> leaves_in;
    /// \brief Its start; zero where it doesn't tell.
    state::incarnation started;
};

/// \brief A small request of the daemon's own.
struct upstream_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
};

/// \brief Names, formats and calls of one platform. Translates and decides nothing.
class dialect
{
public:
    dialect() = default;
    dialect(dialect const&) = delete;
    dialect& operator=(dialect const&) = delete;
    virtual ~dialect() = default;

    // -- callers ------------------------------------------------------------
    [[nodiscard]] virtual call_headers read_call(message_head const& head) const = 0;
    /// \brief Path at which the platform's balancer asks whether this entry VM is ready.
    [[nodiscard]] virtual std::string_view ready_target() const = 0;

    // -- upstreams ------------------------------------------------------------
    /// \brief Returns the head of the call as passed on, whole, with the framing of a body of
    /// `body_bytes`.
    [[nodiscard]] virtual std::string forwarded_head(message_head const& head,
                                                     system_headers const& headers,
                                                     std::size_t body_bytes) const = 0;
    [[nodiscard]] virtual answer_headers read_answer(message_head const& head) const = 0;
    /// \brief Order to copy the memory of generation `id` to another upstream; `is_last` stops it.
    [[nodiscard]] virtual upstream_request copy_request(std::string_view id, state::endpoint to,
                                                        bool is_last) const = 0;
    [[nodiscard]] virtual state::result<copy_answer>
    read_copy_answer(std::string_view body) const = 0;
    [[nodiscard]] virtual upstream_request copy_release_request(std::string_view handle) const = 0;
    [[nodiscard]] virtual upstream_request report_request() const = 0;
    [[nodiscard]] virtual state::result<member_report> read_report(std::string_view body) const = 0;

    // -- the platform's store ------------------------------------------------------------
    /// \brief What the operators wrote: the configuration and orders of evacuation.
    [[nodiscard]] virtual std::string operator_entries_target(read_consistency consistency,
                                                              std::string_view page) const = 0;
    [[nodiscard]] virtual std::string member_list_target(read_consistency consistency,
                                                         std::string_view page) const = 0;
    /// \brief Reads from the fields of any of the store's answers how often it has come back from
    /// a copy; none where it doesn't tell.
    [[nodiscard]] virtual std::optional<std::uint64_t>
    read_era(std::span<header_field const> fields) const = 0;
    /// \brief Reads a page of upstreams or of what the operators wrote.
    [[nodiscard]] virtual state::result<store_page> read_page(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string watch_target(std::uint64_t after,
                                                   state::duration wait) const = 0;
    [[nodiscard]] virtual state::result<store_page> read_changes(std::string_view body) const = 0;
    /// \brief Decodes a configuration as it was published.
    [[nodiscard]] virtual state::result<state::routing_configuration>
    decode_configuration(std::string_view text) const = 0;
};

} // namespace plumdale::protocol
