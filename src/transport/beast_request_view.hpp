#pragma once

#include <plumdale/protocol/caller_codec.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

/// \file
/// \brief What the codec needs of a Beast request.

namespace plumdale::transport
{

/// \brief Returns views of a request's parts; they hold while the request is alive.
[[nodiscard]] protocol::http_request_view
make_request_view(boost::beast::http::request<boost::beast::http::string_body> const& request);

} // namespace plumdale::transport
