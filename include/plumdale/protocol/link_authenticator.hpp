#pragma once

#include <plumdale/protocol/link_codec.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Authentication of the frames on a link between entry VMs.

namespace plumdale::protocol
{

/// \brief Bytes of a frame's MAC.
using link_mac = std::array<std::uint8_t, 16>;

/// \brief Returns the MAC of a hello, by the fleet key alone.
[[nodiscard]] link_mac hello_mac(std::string_view fleet_key, std::string_view bytes);

/// \brief Returns whether two MACs are equal, in constant time.
[[nodiscard]] bool macs_equal(link_mac const& a, link_mac const& b) noexcept;

/// \brief Computes the MACs of one direction of one link.
///
/// The key is derived from the fleet key and both nonces, and each MAC covers the frame's number,
/// so that a recorded frame is not accepted on another link or at another position of the same
/// link.
class link_authenticator
{
public:
    enum class direction : std::uint8_t
    {
        from_initiator,
        from_responder
    };

    link_authenticator(std::string_view fleet_key, link_nonce const& initiator,
                       link_nonce const& responder, direction side);

    /// \brief Returns the MAC of the next frame.
    [[nodiscard]] link_mac next_mac(std::string_view bytes);

private:
    std::array<std::uint8_t, 32> key_{};
    std::uint64_t frame_number_ = 0;
    direction side_;
};

} // namespace plumdale::protocol
