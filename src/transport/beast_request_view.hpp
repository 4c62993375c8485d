#pragma once

#include <plumdale/protocol/caller_codec.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

/// \file
/// \brief A view of the parts of a Beast request that the codec reads.

namespace plumdale::transport
{

/// \brief Returns views of a request's parts; they are valid while the request is alive.
[[nodiscard]] protocol::http_request_view
make_request_view(boost::beast::http::request<boost::beast::http::string_body> const& request);

} // namespace plumdale::transport
