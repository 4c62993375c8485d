#pragma once

#include <transport/request_sink.hpp>
#include <utility>
#include <vector>

/// \file
/// \brief Records the events that the transport passes on.

namespace plumdale::tests
{

class fake_sink final : public transport::request_sink
{
public:
    std::uint32_t receive(coordination::request_received received,
                          std::uint32_t /*preferred_shard*/) override
    {
        requests.push_back(std::move(received));
        return 0;
    }

    void post(std::uint32_t /*shard*/, coordination::request_event event) override
    {
        events.push_back(std::move(event));
    }

    template <class Event>
    [[nodiscard]] bool has() const
    {
        for (coordination::request_event const& each : events)
        {
            if (std::holds_alternative<Event>(each))
            {
                return true;
            }
        }
        return false;
    }

    std::vector<coordination::request_received> requests;
    std::vector<coordination::request_event> events;
};

} // namespace plumdale::tests
