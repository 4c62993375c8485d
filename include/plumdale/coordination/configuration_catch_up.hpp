#pragma once

#include <plumdale/state/time.hpp>

#include <cstdint>
#include <random>

/// \file
/// \brief When an entry VM with an older configuration requests the newer one, and from which
/// source.

namespace plumdale::coordination
{

/// \brief Source to request a configuration from.
enum class configuration_source : std::uint8_t
{
    none,
    peer,
    store
};

/// \brief Waits for the configuration to arrive by broadcast, then requests it from peers and from
/// the store in turn.
///
/// Example:
/// \code
/// catch_up.note_peer_version(update.configuration, own_version, fleet.reader_interval(), now);
/// if (catch_up.next_source(own_version, now) == configuration_source::peer) { ask a peer }
/// \endcode
class configuration_catch_up
{
public:
    explicit configuration_catch_up(std::minstd_rand& random) noexcept : random_{random} {}

    /// \brief Records that a peer follows `version`; `interval` is the time between two messages of
    /// a reader. Returns whether this VM begins to wait for a newer configuration.
    bool note_peer_version(std::uint64_t version, std::uint64_t own_version,
                           state::duration interval, state::time_point now);
    /// \brief Returns the source to ask now, if any; the request is outstanding until `failed()` or
    /// `answer_timeout`.
    [[nodiscard]] configuration_source next_source(std::uint64_t own_version,
                                                   state::time_point now);
    /// \brief Records that the source did not deliver the configuration.
    void failed(state::time_point now);
    /// \brief Returns the newest version that a peer follows, as far as known; zero if none is.
    [[nodiscard]] std::uint64_t wanted_version() const noexcept
    {
        return wanted_version_;
    }

    /// \brief Requests to peers before each one to the store.
    static constexpr std::uint32_t max_peer_attempts = 2;
    /// \brief A request without an answer counts as failed after this time.
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
