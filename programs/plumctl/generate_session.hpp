#pragma once

#include "event_reader.hpp"
#include "http_client.hpp"

#include <plumdale/state/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief A caller's generation that continues when entry VMs fail.

namespace plumdale::plumctl
{

struct generate_options
{
    std::vector<std::string> entries; ///< `IP:PORT`, tried in turn.
    std::string key;
    std::string model;
    std::string kind = "question";
    std::string prompt;
    std::string repeatable; ///< Empty, `true` or `false`.
    std::string idempotency_key;
    std::uint32_t attempt = 0;
    std::uint32_t max_tokens = 0;
    std::string generation;    ///< Attach to this generation instead of running one.
    std::string last_event_id; ///< The last event received, for an attachment.
    bool one_call = false;     ///< Run without reserving an identity first.
    std::chrono::milliseconds idle_timeout{10'000};
    std::chrono::milliseconds attach_timeout{60'000};
};

struct token_event
{
    std::string id;
    std::string text;
};

/// \brief The part of the answer that has arrived so far.
struct generate_answer
{
    std::string generation;
    std::string upstream;
    std::vector<token_event> tokens;
    std::uint32_t next_index = 0;
    std::uint32_t attachments = 0;
    bool complete = false;
};

/// \brief Receives each token's text, and diagnostics for the operator.
struct generate_listener
{
    std::function<void(std::string const& text)> on_token;
    std::function<void(std::string const& diagnostic)> on_diagnostic;
};

/// \brief Reserves, runs and re-attaches until the answer is complete or can't be obtained.
class generate_session
{
public:
    generate_session(generate_options options, generate_listener listener);

    /// \brief Returns the failure, or no value when the answer is complete.
    [[nodiscard]] std::optional<state::failure> run();
    [[nodiscard]] generate_answer const& answer() const noexcept;

private:
    [[nodiscard]] std::optional<state::failure> reserve();
    [[nodiscard]] std::optional<state::failure> start();
    [[nodiscard]] std::optional<state::failure> attach_until_complete(state::failure first);
    [[nodiscard]] std::optional<state::failure> exchange(http_call const& call);
    [[nodiscard]] http_call make_attach_call() const;
    [[nodiscard]] http_call make_run_call() const;
    void add_headers(http_call& call) const;
    void process_head(http_answer const& head);
    void process_event(server_event const& event);
    void process_token(server_event const& event);
    void select_next_entry();

    generate_options options_;
    generate_listener listener_;
    generate_answer answer_;
    std::string last_event_id_;
    std::optional<state::failure> stream_failure_;
    std::size_t entry_index_ = 0;
};

} // namespace plumdale::plumctl
