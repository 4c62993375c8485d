#pragma once

#include <boost/json/fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Orders that an engine accepts: role, version and adapter.

namespace plumdale::standins
{

struct engine_order
{
    std::uint64_t fence = 0;
    std::string role = "mixed";
    std::string version;
    std::string adapter;
};

/// \brief The order in force and all accepted orders, with or without a check of the fence.
class engine_orders
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// \brief Loading another version or adapter takes `load` each time.
    engine_orders(bool fences, std::chrono::milliseconds load)
        : checks_fence_{fences}, load_time_{load}
    {
    }

    /// \brief Returns false and changes nothing if fences are checked and the order's is older.
    bool apply(engine_order const& order, time_point now);
    /// \brief Returns whether new work of this kind is accepted now.
    [[nodiscard]] bool serves(std::string const& kind, time_point now) const;
    [[nodiscard]] std::string text() const;
    [[nodiscard]] boost::json::array record() const;

private:
    bool checks_fence_;
    std::chrono::milliseconds load_time_;
    engine_order in_force_;
    std::vector<engine_order> accepted_;
    time_point loaded_at_{};
};

} // namespace plumdale::standins
