#pragma once

#include "caller_channel.hpp"
#include "forward_core.hpp"
#include "upstream_exchange.hpp"

#include <plumdale/coordination/generation_admission.hpp>
#include <plumdale/coordination/routing_table.hpp>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief One call on its way through a forwarding entry VM.

namespace plumdale::transport
{

/// \brief What was decided of a call before it is sent anywhere.
struct admitted_call
{
    received_call call;
    protocol::call_headers headers;
    /// \brief The configuration under which it was admitted.
    std::shared_ptr<coordination::routing_table const> table;
    state::route const* route = nullptr;
    state::service const* service = nullptr;
    state::customer_keys const* customer = nullptr;
    /// \brief The same for all attempts of a caller at this request.
    state::request_digest request;
    coordination::call_demand demand;
    /// \brief When its caller, or its route, gives it up.
    state::time_point deadline{};
    /// \brief It has less time than others of its route had from the start: it was refused before.
    bool is_retry = false;
};

/// \brief Admits a call and starts it; refuses it through the channel and returns null otherwise.
[[nodiscard]] std::shared_ptr<call_handler>
start_call(forward_core& core, std::shared_ptr<caller_channel> const& channel, received_call call);

/// \brief Sends a call to one upstream after another as far as it may be repeated.
///
/// What may have run is told by the exchanges: no byte sent, or the upstream's own statement, mean
/// that it did not run. All else may have run, and is never refused as not run.
class forward_call : public call_handler,
                     public exchange_sink,
                     public std::enable_shared_from_this<forward_call>
{
public:
    forward_call(forward_core& core, std::shared_ptr<caller_channel> channel,
                 admitted_call admitted);
    ~forward_call() override;

    void start();

    void on_caller_disconnected() override;
    void on_caller_ready() override;
    std::optional<std::string> request() override;
    void on_head(protocol::message_head const& head, protocol::body_framing framing) override;
    void on_end(exchange_end end) final;

    /// \brief Upstreams that could not be reached, or refused, before a call is given up.
    static constexpr std::uint32_t try_limit = 6;
    /// \brief An idempotent call is sent to a second upstream when the first takes this many times
    /// the objective; a late answer earns less than a third.
    static constexpr int slow_answer_factor = 3;
    /// \brief Kept connections that were idle for longer are not used for calls that may not run
    /// twice: one that the upstream closes at that moment leaves in doubt whether it ran.
    static constexpr state::duration non_idempotent_max_idle = std::chrono::milliseconds{400};
    static constexpr state::duration idempotent_max_idle = std::chrono::seconds{10};
    /// \brief Upstreams that a waiting call looks at at a time. All that wait see what becomes free
    /// at the same moment; looking at the best of eight, four to seven of them met there within 50
    /// ms.
    static constexpr std::size_t waiting_candidates = 1;
    /// \brief Waiting for an upstream to appear, as a part of the objective: callers that are told
    /// at once come back in time.
    static constexpr int wait_divisor = 8;
    static constexpr state::duration wait_step = std::chrono::milliseconds{25};
    /// \brief A request that an upstream has run for longer isn't what ended it: one that does so
    /// does it as it is begun. Many others run there at that moment.
    static constexpr state::duration suspected_for = std::chrono::seconds{5};

protected:
    /// \brief What is passed on with the next send.
    [[nodiscard]] virtual protocol::system_headers make_system_headers(state::time_point now) const;
    /// \brief The exchange ended, in whatever way.
    virtual void exchange_ended(exchange_end end);
    /// \brief Returns since when the upstream has been seen to run the call; none before.
    [[nodiscard]] virtual std::optional<state::time_point> runs_since() const
    {
        return std::nullopt;
    }
    /// \brief The answer ended, and may be passed on or judged.
    virtual void answer_ended(exchange_end end) = 0;
    /// \brief The call's time is over.
    virtual void on_timeout() = 0;
    virtual void on_timer(state::time_point now);
    /// \brief Returns what keeps the call from the best upstream there is, if anything.
    [[nodiscard]] virtual coordination::admission_limit
    limit_for(coordination::selected_upstream const& best, state::time_point now) const;
    /// \brief Returns how long a call may wait here until an upstream can take it.
    [[nodiscard]] virtual state::duration longest_wait() const;
    /// \brief Returns when `on_timer` is due besides the deadline.
    [[nodiscard]] virtual state::time_point next_deadline() const;

    /// \brief Returns whether what is sent goes on with what ran elsewhere.
    [[nodiscard]] virtual bool is_resumption() const
    {
        return false;
    }

    /// \brief Returns the tokens that the call has in memory at its upstream by now.
    [[nodiscard]] virtual std::uint32_t tokens_held() const
    {
        return admitted_.demand.prompt_tokens;
    }

    /// \brief Returns the prompt tokens that its upstream has to read before the first event.
    [[nodiscard]] virtual std::uint32_t pending_prefill_tokens() const
    {
        return admitted_.demand.prompt_tokens;
    }

    void dispatch();
    /// \brief Notes the best of about so many upstreams; returns it if the call may be sent there.
    [[nodiscard]] std::optional<state::member_key> select_upstream(std::size_t candidates,
                                                                   state::time_point now);
    [[nodiscard]] bool may_send(state::time_point now) const;
    void wait_or_refuse(bool at_capacity, state::time_point now);
    void open_exchange(state::member_key member);
    void redispatch(std::string_view why);
    /// \brief The upstream failed after it may have run the call.
    void retry_or_refuse(std::string_view why);
    void refuse(state::error_kind kind, std::string_view why);
    /// \brief Returns whether the request is refused wherever it is sent.
    [[nodiscard]] bool is_quarantined() const;
    /// \brief Stops everything; the channel has been answered or is gone.
    void finish();
    void close_exchange();
    /// \brief Counts a load of this call out again, if it is counted in.
    void drop_load(coordination::member_load& load);
    void announce_load(state::member_key member);
    void arm_timer();
    void note_outcome(coordination::call_outcome outcome);
    void log(std::string_view decision, std::string_view why);
    [[nodiscard]] bool may_have_run() const noexcept
    {
        return possible_runs_ > 0;
    }
    /// \brief Returns when a caller that is refused now had best come back.
    [[nodiscard]] virtual state::duration retry_after();
    [[nodiscard]] std::vector<protocol::header_field> answer_fields() const;
    [[nodiscard]] std::string_view member_name() const;
    [[nodiscard]] std::string_view name_of(state::member_key member) const;

    forward_core& core_;
    std::shared_ptr<caller_channel> channel_;
    admitted_call admitted_;
    net::steady_timer timer_;
    std::shared_ptr<upstream_exchange> exchange_;
    state::member_key member_;
    coordination::member_load load_;
    std::vector<state::member_key> excluded_;
    protocol::message_head head_;
    protocol::answer_headers answer_;
    protocol::body_framing framing_ = protocol::body_framing::none;
    state::time_point sent_at_{};
    state::time_point first_sent_at_{};
    /// \brief The best upstream of the last look that found any, whether the call went there or
    /// not.
    coordination::selected_upstream best_;
    /// \brief What kept the call from it.
    coordination::admission_limit blocking_limit_ = coordination::admission_limit::none;
    state::time_point wait_until_{};
    state::time_point retry_at_ = state::never;
    std::uint32_t tries_ = 0;
    std::uint32_t sends_ = 0;
    /// \brief Sends that may have run.
    std::uint32_t possible_runs_ = 0;
    bool is_waiting_ = false;
    /// \brief The upstream was taken for cold when the call was sent.
    bool is_cold_ = false;
    bool has_head_ = false;
    bool finished_ = false;

private:
    void on_deadline_timer();
    void refuse(state::error_kind kind, std::string_view why, state::duration retry_after);
    void refuse_quarantined();
    /// \brief Notes what the end of the exchange says of the request itself.
    void note_evidence(exchange_end end);
    [[nodiscard]] bool has_mismatched_id() const;
    [[nodiscard]] bool is_refused_by_upstream(exchange_end end) const;
};

} // namespace plumdale::transport
