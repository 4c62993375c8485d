#pragma once

#include "forward_fixture.hpp"

#include <chrono>
#include <string>
#include <string_view>

/// \file
/// \brief A caller of a fixture's entry VM that reads its answers slowly.

namespace plumdale::test
{

/// \brief A caller with a small window that reads at a fixed rate.
class slow_caller
{
public:
    slow_caller(forward_fixture& fixture, std::size_t bytes_per_second);

    void send(std::string_view bytes);
    /// \brief Ends the sending side, and reads on.
    void end_sending();
    /// \brief Reads until `wanted` bytes are there or the connection ends.
    void read_until_size(std::size_t wanted);
    /// \brief Runs the loop without reading.
    void rest(std::chrono::milliseconds time);

    std::string received;
    bool ended = false;

private:
    void read_some(std::size_t most);

    forward_fixture& fixture_;
    transport::tcp::socket socket_;
    std::size_t bytes_per_second_;
};

} // namespace plumdale::test
