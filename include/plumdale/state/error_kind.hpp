#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// \file
/// \brief The closed list of error kinds and the table from kind to answer.

namespace plumdale::state
{

/// \brief Every kind of error that callers and operators can receive.
enum class error_kind : std::uint8_t
{
    invalid_request,
    request_too_large,
    unauthenticated,
    not_allowed,
    unknown_model,
    unknown_preset,
    unknown_generation,
    over_customer_limit,
    overloaded,
    no_upstream,
    quarantined,
    draining,
    not_ready,
    peer_declined,
    peer_out_of_step,
    peer_at_capacity,
    key_in_doubt,
    key_in_use,
    owner_unreachable,
    deadline_not_run,
    may_have_run,
    interrupted,
    superseded,
    upstream_fault,
    not_accepted,
    settings_invalid,
    connection_failed,
    connection_refused,
    internal,
    count ///< Number of kinds; not a kind.
};

/// \brief What an answer states about whether the request ran.
enum class run_claim : std::uint8_t
{
    not_run,      ///< Nothing ran; safe to send again.
    may_have_run, ///< Not safe to send again for a billed request.
    interrupted,  ///< Ran, and some tokens were delivered; re-attach by identity.
    no_claim      ///< States nothing about a run (operators' commands, settings).
};

/// \brief One row of the table from error kind to answer.
struct error_answer
{
    error_kind kind;
    std::string_view name;    ///< Stable word in JSON answers and logs.
    std::uint16_t status;     ///< HTTP status.
    run_claim claim;          ///< What is stated about the run.
    bool retry_after;         ///< Whether the answer carries a retry time.
    std::uint8_t exit_code;   ///< plumctl's exit code.
    std::string_view message; ///< One short, human-readable sentence.
};

/// \brief Returns the row for `kind`.
[[nodiscard]] error_answer const& answer_for(error_kind kind) noexcept;

/// \brief Returns the row named `name`, or null.
[[nodiscard]] error_answer const* find_answer(std::string_view name) noexcept;

/// \brief Returns the whole table, one row a kind, in the order of the kinds.
[[nodiscard]] std::span<error_answer const> error_table() noexcept;

/// \brief Returns the stable word for a claim: `not_run`, `may_have_run`, `interrupted`,
/// `no_claim`.
[[nodiscard]] std::string_view claim_name(run_claim claim) noexcept;

} // namespace plumdale::state
