#pragma once

#include "request_fleet.hpp"

#include <plumdale/state/error_kind.hpp>

#include <sstream>

/// \file
/// \brief Callers that check what they get, and what the engines ran for them.

namespace plumdale::test
{

enum class order_kind : std::uint8_t
{
    question,       ///< Repeatable, streamed.
    whole_question, ///< Repeatable, one whole answer.
    reserved_draft, ///< Billed: reserves an identity, then runs it.
    keyed_draft,    ///< Billed: one call with an idempotency key, streamed.
    keyed_whole,    ///< Billed: one call with a key, one whole answer.
    count
};

/// \brief What one caller wants, and how far it has come.
struct order
{
    std::string name;
    order_kind kind = order_kind::question;
    std::size_t node = 0;
    state::caller_handle caller;
    state::generation_id generation;
    state::upstream_id upstream;
    std::string run; ///< Name of the run that its tokens came from.
    std::uint32_t next = 0;
    std::uint32_t attempt = 1;
    std::uint32_t tries = 0;
    std::shared_ptr<std::string const> body;
    time_point started_at{};
    time_point last_contact{};
    duration time_limit{}; ///< Time for the whole order; zero for none.
    duration run_delay{};  ///< How long a reservation waits for its run.
    bool numbered = true;  ///< Tells its attempt number.
    bool retries = true;   ///< Tries again after a refusal or break.
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

/// \brief Sends orders, follows them to their end as a client library would, notes violations.
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

    /// \brief The caller's own connection is lost; it goes on at `node`.
    void disconnect(std::size_t which, std::size_t node);

    /// \brief Attaches a second connection to an order's generation; its tokens count from there.
    void attach_second_connection(std::size_t which, std::size_t node);

    /// \brief The caller's connection is lost; it comes back later, at another VM.
    void disconnect_for(std::size_t which, std::size_t node, duration absence);

    /// \brief Sends a billed order once more, though the first call is still open.
    void send_duplicate(std::size_t which, std::size_t node);

    /// \brief The caller stops reading, and has to be told within the bound.
    void stop_reading(std::size_t which);

    /// \brief Somebody guesses the identity after an order's.
    void send_forged_identity(std::size_t which, std::size_t node);

    // -- what callers are told -----------------------------------------------------------------

    void head(state::caller_handle caller, send_head const& head) override;

    void token(state::caller_handle caller, send_token const& token) override;

    void finished(state::caller_handle caller, send_finished const& end) override;

    void refused(state::caller_handle caller, send_refused const& end) override;

    void disconnected(state::caller_handle caller) override;

    // -- what is checked at the end --------------------------------------------------------------

    void check();

    [[nodiscard]] std::size_t whole() const;

    void add_violation(std::string violation);

    [[nodiscard]] static std::string description(order const& each);

private:
    order* find(state::caller_handle caller);

    std::size_t release(state::caller_handle caller);

    /// \brief Takes one token's text: it names the request, the run and the index.
    void check_token(order& each, std::string const& text);

    static time_point deadline_of(order const& each);

    [[nodiscard]] state::request run_request(order const& each) const;

    void expect_by_deadline(std::size_t which);

    void attempt(std::size_t which);

    void attach(std::size_t which);

    void post(std::size_t which, state::request request);

    /// \brief This attempt was not run: it is sent again, to any VM, under the same number.
    void retry(std::size_t which);

    /// \brief The answer broke off, or what became of the attempt is not known.
    void recover(std::size_t which, std::size_t node);

    void restart(std::size_t which);

    void schedule_retry(std::size_t which, std::function<void(std::size_t)> action);

    /// \brief A caller that hears nothing for long hangs up and asks elsewhere.
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
