#pragma once

#include "request_fleet.hpp"

#include <plumdale/state/error_kind.hpp>

#include <sstream>

/// \file
/// \brief Callers that check their answers and what the engines ran for them.

namespace plumdale::test
{

enum class order_kind : std::uint8_t
{
    question,       ///< Repeatable, streamed.
    whole_question, ///< Repeatable, the answer in one piece.
    reserved_draft, ///< Billed: reserves an identity, then runs it.
    keyed_draft,    ///< Billed: one call with an idempotency key, streamed.
    keyed_whole,    ///< Billed: one call with a key, the answer in one piece.
    count
};

/// \brief One caller's piece of work, over all its attempts, and its progress.
struct order
{
    std::string name;
    order_kind kind = order_kind::question;
    std::size_t node = 0;
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
    std::string run; ///< Name of the run that produced its tokens.
    std::uint32_t next = 0;
    std::uint32_t attempt = 1;
    std::uint32_t tries = 0;
    std::shared_ptr<std::string const> body;
    time_point started_at{};
    time_point last_contact{};
    duration time_limit{}; ///< Time for the whole order; zero for none.
    duration run_delay{};  ///< Time from the reservation to its run.
    bool numbered = true;  ///< Sends its attempt number.
    bool retries = true;   ///< Retries after a refusal or a lost connection.
    bool attached = false; ///< Attached by identity.
    bool ended = false;
    bool whole = false;
    state::error_kind last_error = state::error_kind::count;

    [[nodiscard]] bool billed() const
    {
        return kind >= order_kind::reserved_draft;
    }
    [[nodiscard]] bool streamed() const
    {
        return kind != order_kind::whole_question && kind != order_kind::keyed_whole;
    }
};

/// \brief Sends orders, follows them to their end as a client library does, and records violations.
class checked_callers final : public caller_observer
{
public:
    static constexpr std::uint32_t max_tries = 25;

    std::vector<order> orders;
    std::vector<std::string> violations;
    std::map<state::error_kind, std::size_t> refusals;
    request_fleet* fleet = nullptr;

    /// \brief Begins an order at a node; `prepare` may change it before it is sent.
    std::size_t begin(order_kind kind, std::size_t node,
                      std::function<void(order&)> const& prepare = {});

    /// \brief Closes the caller's connection; the caller continues at `node`.
    void disconnect(std::size_t which, std::size_t node);

    /// \brief Attaches a second connection to an order's generation; its tokens count from there.
    void attach_second_connection(std::size_t which, std::size_t node);

    /// \brief Closes the caller's connection; after `absence` the caller connects to another VM.
    void disconnect_for(std::size_t which, std::size_t node, duration absence);

    /// \brief Sends a billed order once more while the first call is still open.
    void send_duplicate(std::size_t which, std::size_t node);

    /// \brief Stops reading; the caller's stream has to end within 10 s.
    void stop_reading(std::size_t which);

    /// \brief Attaches with a guessed identity: the one that follows the order's.
    void send_forged_identity(std::size_t which, std::size_t node);

    // -- answers to callers -------------------------------------------------------------------

    void head(state::caller_handle caller, send_head const& head) override;

    void token(state::caller_handle caller, send_token const& token) override;

    void finished(state::caller_handle caller, send_finished const& end) override;

    void refused(state::caller_handle caller, send_refused const& end) override;

    void disconnected(state::caller_handle caller) override;

    // -- checks at the end --------------------------------------------------------------------

    void check();

    [[nodiscard]] std::size_t whole() const;

    void add_violation(std::string violation);

    [[nodiscard]] static std::string description(order const& each);

private:
    order* find(state::caller_handle caller);

    std::size_t release(state::caller_handle caller);

    /// \brief Checks one token's text, which names the request, the run and the index.
    void check_token(order& each, std::string const& text);

    static time_point deadline_of(order const& each);

    [[nodiscard]] state::request run_request(order const& each) const;

    void expect_by_deadline(std::size_t which);

    void attempt(std::size_t which);

    void attach(std::size_t which);

    void post(std::size_t which, state::request request);

    /// \brief Resends an attempt that was not run, to any VM and under the same attempt number.
    void retry(std::size_t which);

    /// \brief Attaches or retries when the answer was interrupted or the attempt's outcome is
    /// unknown.
    void recover(std::size_t which, std::size_t node);

    void restart(std::size_t which);

    void schedule_retry(std::size_t which, std::function<void(std::size_t)> action);

    /// \brief Disconnects a caller that receives nothing for 15 s; it continues at another VM.
    void watch_for_silence(std::size_t which);

    struct claim
    {
        std::string name;
        std::string const* body;
    };

    std::map<state::caller_handle, std::size_t> by_caller_;
    std::map<state::caller_handle, std::size_t> extra_callers_;
    std::vector<claim> claimed_not_run_;
    std::vector<std::shared_ptr<std::string const>> bodies_;
};

} // namespace plumdale::test
