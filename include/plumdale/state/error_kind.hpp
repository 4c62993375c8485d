#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// \file
/// \brief The closed list of error kinds and the table from kind to answer.

namespace plumdale::state
{

/// \brief Everything that can go wrong, as callers and operators are told.
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
    internal,
    count ///< Number of kinds; no kind itself.
};

/// \brief What an answer says of the work it answers for.
enum class run_claim : std::uint8_t
{
    not_run,      ///< Nothing ran; safe to send again.
    may_have_run, ///< Not safe to send again for a billed request.
    interrupted,  ///< Ran, and some tokens were delivered; re-attach by identity.
    no_claim      ///< Says nothing of any run (operators' commands, settings).
};

/// \brief One row of the table from error kind to answer.
struct error_answer
{
    error_kind kind;
    std::string_view name;    ///< Stable word in JSON answers and logs.
    std::uint16_t status;     ///< HTTP status.
    run_claim claim;          ///< What is promised of the run.
    bool retry_after;         ///< Whether the answer carries a time to come back.
    std::uint8_t exit_code;   ///< plumctl's exit code.
    std::string_view message; ///< One short sentence for people.
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
