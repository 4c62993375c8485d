#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>
#include <random>

/// \file
/// \brief When an entry VM that follows an older configuration asks for the newer one, and whom.

namespace plumdale::coordination
{

/// \brief Whom to ask for a configuration now.
enum class configuration_source : std::uint8_t
{
    none,
    peer,
    store
};

/// \brief Waits for the configuration to be passed on, then asks peers, and the store last.
///
/// Example:
/// \code
/// catch_up.note_peer_version(news.configuration, own_version, fleet.interval(), now);
/// if (catch_up.due(own_version, now) == configuration_source::peer) { ask one that has it }
/// \endcode
class configuration_catch_up
{
public:
    explicit configuration_catch_up(std::minstd_rand& random) noexcept : random_{random} {}

    /// \brief A peer follows `version`; `interval` is the time between a reader's messages.
    void note_peer_version(std::uint64_t version, std::uint64_t own_version,
                           state::duration interval, state::time_point now);
    /// \brief Returns whom to ask now; the answer counts as asked until `failed()`.
    [[nodiscard]] configuration_source next_source(std::uint64_t own_version,
                                                   state::time_point now);
    /// \brief Who was asked did not give it.
    void failed(state::time_point now);

    /// \brief Peers that are asked before the store.
    static constexpr std::uint32_t max_peer_attempts = 2;
    /// \brief A question that isn't answered is taken as failed after this.
    static constexpr state::duration answer_timeout = std::chrono::seconds{1};
    static constexpr state::duration retry_delay = std::chrono::milliseconds{100};

private:
    [[nodiscard]] state::duration with_jitter(state::duration time);

    std::minstd_rand& random_;
    std::uint64_t wanted_version_ = 0;
    std::uint32_t failures_ = 0;
    state::time_point due_ = state::never;
    bool outstanding_ = false;
};

} // namespace plumdale::coordination
