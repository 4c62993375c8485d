#pragma once

#include <plumdale/protocol/link_codec.hpp>

#include <functional>

/// \file
/// \brief The interface that answers peers' requests for configuration values.

namespace plumdale::transport
{

/// \brief Passes a peer's request to the control plane; any thread may call.
class content_source
{
public:
    using answer_handler = std::function<void(protocol::link_content)>;

    content_source() = default;
    content_source(content_source const&) = delete;
    content_source& operator=(content_source const&) = delete;
    virtual ~content_source() = default;

    /// \brief Calls `answer` once, on the control thread.
    virtual void request(state::content_ref wanted, answer_handler answer) = 0;
};

} // namespace plumdale::transport
