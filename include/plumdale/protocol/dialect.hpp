#pragma once

#include <plumdale/protocol/message_head.hpp>
#include <plumdale/state/endpoint.hpp>
#include <plumdale/state/evacuation.hpp>
#include <plumdale/state/identifier.hpp>
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
/// \brief Interface of the forwarding daemon to a platform's wire format.

namespace plumdale::protocol
{

/// \brief Consistency that a read of the platform's store requires.
enum class read_consistency : std::uint8_t
{
    current,
    allow_stale ///< The answer may be seconds old; it costs a tenth and doesn't count toward the
                ///< rate limit.
};

/// \brief Headers of a caller's request that the system evaluates.
struct call_headers
{
    /// \brief Identifies this attempt; empty when it is missing.
    std::string id;
    /// \brief How long the caller waits.
    std::optional<state::duration> time_left;
    std::string key;
    std::uint32_t prompt_tokens = 0;
    /// \brief Maximum number of tokens of the answer; zero for plain calls.
    std::uint32_t output_limit = 0;
    /// \brief The caller's estimate of the answer's tokens; accurate at the median, often far off.
    std::uint32_t output_hint = 0;
    /// \brief Parts of the prompt that other requests may have too, in order; none for plain calls.
    std::vector<state::prompt_part> shared_parts;
};

/// \brief Where an upstream resumes a generation that another one began.
struct resume_point
{
    /// \brief Upstream that made the copy, or that holds a backup.
    state::endpoint holder;
    std::string handle;
    /// \brief The last complete event that this entry VM received.
    std::uint64_t last_event = 0;
};

/// \brief Headers that the system adds to a forwarded call.
struct system_headers
{
    state::duration time_left{};
    /// \brief Expected incarnation of the upstream; any other one refuses the call.
    std::string member;
    /// \brief Empty when the call has no customer.
    std::string customer;
    std::optional<unsigned> priority;
    std::optional<resume_point> resume_from;
    /// \brief Upstream that keeps a copy of the generation's memory as it grows.
    std::optional<state::endpoint> backup;
};

/// \brief What an upstream's answer, of any kind, states about the upstream.
struct upstream_statement
{
    /// \brief It leaves: this start takes no more work.
    bool leaves = false;
    /// \brief It refused the request, and wants no further one of this VM for this time.
    std::optional<state::duration> retry_after;
    /// \brief How long it stays cold.
    std::optional<state::duration> cold_for;
    /// \brief Requests per second that it accepts from all entry VMs together.
    std::optional<double> request_limit;
    /// \brief Refusals per second, of requests of all entry VMs together, above which it ends.
    std::optional<double> refusal_limit;
};

/// \brief Headers of an upstream's answer that the system evaluates.
struct answer_headers
{
    std::string id;
    /// \brief Whether the upstream signed the answer; a success without a signature doesn't count.
    bool is_signed = false;
    /// \brief The upstream states that the call did not run.
    bool not_run = false;
    /// \brief The status is one that callers take for a promise that the call did not run and never
    /// will, whether or not the upstream states so.
    bool promises_not_run = false;
    /// \brief Another incarnation has this address now.
    bool misdirected = false;
    /// \brief The body has a content coding, which was not requested.
    bool encoded = false;
    bool closes = false;
    /// \brief How long the upstream keeps the idle connection, if it states it.
    std::optional<state::duration> keep_alive;
    upstream_statement statement;
    bool is_event_stream = false;
};

/// \brief A rejected entry of the platform's list: damaged, or written by another writer.
struct unusable_entry
{
    /// \brief Name of the upstream in the key of the entry.
    std::string name;
    std::uint64_t revision = 0;
    /// \brief Reason for the rejection, for the log.
    std::string_view reason;
};

/// \brief An evacuation order, issued or withdrawn.
struct evacuation_order
{
    std::string zone;
    state::evacuation_change change;
};

/// \brief One page of a read of the platform's store.
struct store_page
{
    /// \brief The newest configuration in the page, as published; empty if there is none.
    std::string configuration;
    std::vector<state::service_member> members;
    /// \brief Rejected entries; the other entries of the page are valid.
    std::vector<unusable_entry> unusable;
    std::vector<evacuation_order> orders;
    /// \brief The store's revision when it answered.
    std::uint64_t revision = 0;
    /// \brief The greatest revision of the page's items.
    std::uint64_t newest_revision = 0;
    /// \brief Key after which the next page of a list begins; empty on the last page.
    std::string next_page;
};

/// \brief Answer of an upstream to the request to copy a generation's memory.
struct copy_answer
{
    std::string handle;
    /// \brief Number of events that the generation had produced.
    std::uint64_t events = 0;
};

/// \brief An upstream's report on itself.
struct member_report
{
    /// \brief Time until the upstream is removed, if it is known.
    std::optional<state::duration> leaves_in;
    /// \brief Start of the upstream; zero if the report doesn't state it.
    state::incarnation started;
};

/// \brief A request that the daemon itself makes to an upstream.
struct upstream_request
{
    std::string method = "GET";
    std::string target;
    std::string body;
    std::vector<header_field> fields{};
};

/// \brief Names, formats and calls of one platform. A dialect translates and makes no decisions.
class dialect
{
public:
    dialect() = default;
    dialect(dialect const&) = delete;
    dialect& operator=(dialect const&) = delete;
    virtual ~dialect() = default;

    // -- callers ------------------------------------------------------------
    [[nodiscard]] virtual call_headers read_call(message_head const& head) const = 0;
    /// \brief Path at which the platform's balancer checks whether this entry VM is ready.
    [[nodiscard]] virtual std::string_view ready_target() const = 0;

    // -- upstreams ------------------------------------------------------------
    /// \brief Returns the complete head of the forwarded call, with the framing of a body of
    /// `body_bytes`.
    [[nodiscard]] virtual std::string forwarded_head(message_head const& head,
                                                     system_headers const& headers,
                                                     std::size_t body_bytes) const = 0;
    [[nodiscard]] virtual answer_headers read_answer(message_head const& head) const = 0;
    /// \brief Reads what the answer to any request states about its upstream.
    [[nodiscard]] virtual upstream_statement
    read_statement(unsigned status, std::span<header_field const> fields) const = 0;
    /// \brief Request to copy the memory of generation `id` to another upstream; `is_last` also
    /// stops the generation.
    [[nodiscard]] virtual upstream_request copy_request(std::string_view id, state::endpoint to,
                                                        bool is_last) const = 0;
    [[nodiscard]] virtual state::result<copy_answer>
    read_copy_answer(std::string_view body) const = 0;
    [[nodiscard]] virtual upstream_request copy_release_request(std::string_view handle) const = 0;
    /// \brief Request for a report; with a name, any other incarnation refuses it.
    [[nodiscard]] virtual upstream_request
    report_request(std::string_view expected_member = {}) const = 0;
    [[nodiscard]] virtual state::result<member_report> read_report(std::string_view body) const = 0;

    // -- the platform's store ------------------------------------------------------------
    /// \brief Target that lists what the operators wrote: the configuration and evacuation orders.
    [[nodiscard]] virtual std::string operator_entries_target(read_consistency consistency,
                                                              std::string_view page) const = 0;
    [[nodiscard]] virtual std::string member_list_target(read_consistency consistency,
                                                         std::string_view page) const = 0;
    /// \brief Returns how often the store was restored from a copy, as the header fields of any of
    /// its answers state it; none if they don't.
    [[nodiscard]] virtual std::optional<std::uint64_t>
    read_era(std::span<header_field const> fields) const = 0;
    /// \brief Decodes a page of upstreams or of operators' entries.
    [[nodiscard]] virtual state::result<store_page> read_page(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string watch_target(std::uint64_t after,
                                                   state::duration wait) const = 0;
    [[nodiscard]] virtual state::result<store_page> read_changes(std::string_view body) const = 0;
    /// \brief Decodes a configuration as it was published.
    [[nodiscard]] virtual state::result<state::routing_configuration>
    decode_configuration(std::string_view text) const = 0;
};

} // namespace plumdale::protocol
