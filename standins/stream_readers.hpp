#pragma once

#include "engine_model.hpp"
#include "http_server.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The connections that read an engine's streams, and the faults injected into them.

namespace plumdale::standins
{

/// \brief A fault injected into token events.
enum class token_fault : std::uint8_t
{
    none,
    garbage,
    wrong_index,
    wrong_identity,
    duplicate
};

/// \brief Returns the fault with this name, or `none`.
[[nodiscard]] token_fault parse_fault(std::string_view name) noexcept;

/// \brief The connections that wait for tokens, by run.
class stream_readers
{
public:
    void add(std::uint32_t run, http_exchange_ptr const& exchange);
    /// \brief Keeps a connection open and never sends anything on it.
    void hold_open(http_exchange_ptr const& exchange);

    void broadcast_token(engine_run const& run, std::uint32_t index);
    void finish_run(engine_run const& run);
    /// \brief Sends tokens that were delivered earlier again, to one connection.
    void resend(http_exchange& exchange, engine_run const& run, std::uint32_t from,
                std::uint32_t until);
    static void send_done(http_exchange& exchange, engine_run const& run);

    void send_heartbeats();
    /// \brief Closes the connections of one run.
    void cut(std::uint32_t run);
    void cut_all();
    /// \brief Sends nothing more on the open connections and leaves them open.
    void silence();
    /// \brief Injects `fault` into the next `count` token events.
    void inject(token_fault fault, std::uint32_t count) noexcept;

private:
    void send_token(http_exchange& exchange, engine_run const& run, std::uint32_t index);
    void send_faulty(http_exchange& exchange, engine_run const& run, std::uint32_t index);

    std::unordered_map<std::uint32_t, std::vector<http_exchange_ptr>> by_run_;
    std::vector<http_exchange_ptr> silent_exchanges_;
    token_fault fault_ = token_fault::none;
    std::uint32_t fault_count_ = 0;
};

} // namespace plumdale::standins
