#pragma once

#include <plumdale/state/endpoint.hpp>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>

/// \file
/// \brief Names for Asio, and endpoints in its terms.

namespace plumdale::transport
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

/// \brief Returns `where` as a TCP endpoint.
[[nodiscard]] inline tcp::endpoint to_tcp(state::endpoint where)
{
    return {net::ip::address_v4{where.address}, where.port};
}

/// \brief Returns an IPv4 TCP endpoint as a `state::endpoint`.
[[nodiscard]] inline state::endpoint from_tcp(tcp::endpoint const& where)
{
    return {where.address().to_v4().to_uint(), where.port()};
}

/// \brief Opens `socket` and binds it to `source`, unless that is zero.
inline boost::system::error_code open_from(tcp::socket& socket, state::endpoint source)
{
    boost::system::error_code error;
    socket.open(tcp::v4(), error);
    if (!error && source.address != 0)
    {
        socket.bind(to_tcp(source), error);
    }
    return error;
}

} // namespace plumdale::transport
