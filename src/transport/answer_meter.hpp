#pragma once

#include "metrics.hpp"

#include <plumdale/state/request.hpp>

/// \file
/// \brief Measures one answer as its caller sees it.

namespace plumdale::transport
{

/// \brief Records one answer at a time in a worker's metrics and error budgets.
class answer_meter
{
public:
    explicit answer_meter(worker_metrics& metrics) : metrics_{metrics} {}

    /// \brief Starts measuring a request and discards the state of the previous one.
    void begin(coordination::error_budget_key key, bool counted, state::time_point now);
    void record_token(state::time_point now);
    void record_whole(state::time_point now);
    /// \brief Records an answer that was refused before any token or broken off after one.
    void record_refusal(state::error_kind kind, state::time_point now);
    void record_disconnect(state::time_point now);

private:
    void finish(coordination::answer_outcome outcome, state::time_point now);

    worker_metrics& metrics_;
    coordination::error_budget_key key_;
    state::time_point last_progress_{};
    bool counted_ = false;
    bool has_first_token_ = false;
};

} // namespace plumdale::transport
