#pragma once

#include <plumdale/coordination/configuration_offer.hpp>
#include <plumdale/coordination/fleet_update.hpp>
#include <plumdale/coordination/service_directory.hpp>
#include <plumdale/coordination/vm_digests.hpp>
#include <plumdale/state/result.hpp>

#include <span>
#include <string>
#include <string_view>

/// \file
/// \brief Encoding of messages between forwarding entry VMs.

namespace plumdale::protocol
{

/// \brief Returns a datagram: a MAC by the fleet key and Cap'n Proto words.
[[nodiscard]] std::string encode(coordination::fleet_update const& update,
                                 std::string_view fleet_key);

/// \brief Reads a datagram. Anything not made with the fleet key or not well-formed fails with
/// `invalid_request`.
[[nodiscard]] state::result<coordination::fleet_update>
decode_fleet_update(std::span<char const> datagram, std::string_view fleet_key);

/// \brief Returns an offer as a datagram: a MAC by the fleet key and Cap'n Proto words.
[[nodiscard]] std::string encode(coordination::configuration_offer const& offer,
                                 std::string_view fleet_key);

/// \brief Reads such a datagram, or the body of an answer to a peer that asks for a configuration.
/// Anything not made with the fleet key or not well-formed fails with `invalid_request`.
[[nodiscard]] state::result<coordination::configuration_offer>
decode_configuration_offer(std::span<char const> datagram, std::string_view fleet_key);

/// \brief Returns the body of an answer to a peer that asks for the directory.
[[nodiscard]] std::string encode(coordination::directory_copy const& copy);

/// \brief Reads such a body; fails with `invalid_request`.
[[nodiscard]] state::result<coordination::directory_copy>
decode_directory_copy(std::string_view body);

/// \brief Returns the body of a request for the parts of a directory that differ.
[[nodiscard]] std::string encode(coordination::bucket_digests const& digests);

/// \brief Reads such a body; fails with `invalid_request` if its length is wrong.
[[nodiscard]] state::result<coordination::bucket_digests>
decode_bucket_digests(std::string_view body);

/// \brief Returns the body of an answer to a peer that checks what it knows: a MAC by the fleet key
/// and the digests.
[[nodiscard]] std::string encode(coordination::vm_digests const& digests,
                                 std::string_view fleet_key);

/// \brief Reads such a body. Anything not made with the fleet key or of another length fails with
/// `invalid_request`.
[[nodiscard]] state::result<coordination::vm_digests> decode_vm_digests(std::string_view body,
                                                                        std::string_view fleet_key);

} // namespace plumdale::protocol
