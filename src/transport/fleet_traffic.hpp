#pragma once

#include <plumdale/coordination/fleet_update.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// \brief Counters of what a forwarding entry VM exchanges with its peers.

namespace plumdale::transport
{

/// \brief Kinds of messages between forwarding entry VMs, in the order of the metrics page.
enum class message_kind : std::uint8_t
{
    membership,    ///< Probes and news of members.
    status,        ///< Periodic and urgent updates, with all rows of load or none.
    load,          ///< Changed rows of load.
    upstreams,     ///< Changed upstreams.
    evidence,      ///< Evidence on requests that end upstreams.
    limits,        ///< Limits that upstreams state.
    suspicions,    ///< Upstreams and zones that can't be reached, or answered again.
    configuration, ///< Offers and requested configurations.
    directory,     ///< Requested rows of the directory, with the digests that request them.
    count          ///< Number of kinds; no kind itself.
};

/// \brief Returns the kind of an update.
[[nodiscard]] message_kind kind_of(coordination::fleet_update const& update) noexcept;

/// \brief Messages and bytes by kind and direction, since the process's start.
class fleet_traffic
{
public:
    void add_sent(message_kind kind, std::size_t bytes) noexcept
    {
        add(sent_, kind, bytes);
    }
    void add_received(message_kind kind, std::size_t bytes) noexcept
    {
        add(received_, kind, bytes);
    }
    [[nodiscard]] std::uint64_t bytes_sent(message_kind kind) const noexcept
    {
        return sent_[static_cast<std::size_t>(kind)].bytes;
    }
    [[nodiscard]] std::uint64_t bytes_received(message_kind kind) const noexcept
    {
        return received_[static_cast<std::size_t>(kind)].bytes;
    }
    /// \brief Returns the bytes of each kind, sent and received, as one short text for the log.
    [[nodiscard]] std::string summary() const;
    /// \brief Returns the counters in Prometheus's text format.
    [[nodiscard]] std::string text() const;

private:
    struct totals
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };
    using table = std::array<totals, static_cast<std::size_t>(message_kind::count)>;

    static void add(table& to, message_kind kind, std::size_t bytes) noexcept
    {
        totals& row = to[static_cast<std::size_t>(kind)];
        ++row.messages;
        row.bytes += bytes;
    }

    table sent_{};
    table received_{};
};

} // namespace plumdale::transport
