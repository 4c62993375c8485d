#pragma once

#include <plumdale/state/customer.hpp>
#include <plumdale/state/generation_id.hpp>
#include <plumdale/state/identifier.hpp>
#include <plumdale/state/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief A caller's request.

namespace plumdale::state
{

/// \brief The kind of work, for headroom and metrics.
enum class work_kind : std::uint8_t
{
    question, ///< A short answer that a user waits for.
    draft,    ///< A long list or draft.
    call      ///< A call to a plain service.
};

enum class operation : std::uint8_t
{
    run,     ///< Start a generation, or start one that was reserved.
    reserve, ///< Obtain an identity; nothing runs.
    attach,  ///< Read a generation that was started earlier; runs nothing.
    cancel   ///< Stop a generation.
};

/// \brief One request, decoded. It is the same whether it came from a caller or over a relay.
struct request
{
    operation op = operation::run;
    work_kind kind = work_kind::question;
    /// \brief False for billed work: then it runs at most once.
    bool repeatable = false;
    /// \brief True when the caller wants tokens as they come, false for one whole answer.
    bool streamed = true;
    sha256_digest api_key{};
    /// \brief Set by the entry VM that authenticated the caller; zero before.
    customer_id customer;
    model_id model;
    /// \brief The identity, for `attach`, `cancel` and the run of a reserved generation.
    generation_id generation;
    /// \brief Upstream on which the generation last ran; a hint from the caller's last event.
    upstream_id upstream_hint;
    /// \brief First token index that the caller has not received, for `attach`.
    std::uint32_t next_index = 0;
    /// \brief Digest of the idempotency key; zero when none was given.
    idempotency_key_id key;
    /// \brief The caller's count of its attempts under this key, from 1; zero when not given.
    std::uint32_t attempt = 0;
    /// \brief Estimated prompt length in tokens.
    std::uint32_t prompt_tokens = 0;
    /// \brief Most tokens wanted; zero when the caller sets no limit.
    std::uint32_t max_tokens = 0;
    /// \brief Chained hashes of the prompt's leading blocks, for prefix affinity.
    std::vector<std::uint64_t> prefix;
    time_point deadline = never;
    /// \brief Body sent to the upstream: the prompt, or a plain call's body.
    std::shared_ptr<std::string const> body;
    /// \brief Path of a plain call on its service.
    std::string path;
};

} // namespace plumdale::state
