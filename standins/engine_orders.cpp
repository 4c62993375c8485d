#include "engine_orders.hpp"

#include <boost/json.hpp>

namespace plumdale::standins
{
namespace
{

boost::json::object to_json(engine_order const& order)
{
    return {{"fence", order.fence},
            {"role", order.role},
            {"version", order.version},
            {"adapter", order.adapter}};
}

} // namespace

bool engine_orders::apply(engine_order const& order, time_point now)
{
    if (checks_fence_ && order.fence < in_force_.fence)
    {
        return false;
    }
    if (order.version != in_force_.version || order.adapter != in_force_.adapter)
    {
        loaded_at_ = now + load_time_;
    }
    in_force_ = order;
    accepted_.push_back(order);
    return true;
}

bool engine_orders::serves(std::string const& kind, time_point now) const
{
    std::string const& role = in_force_.role;
    bool const fits = role != "idle" && !(role == "questions" && kind == "draft") &&
                      !(role == "drafts" && kind == "question");
    return fits && now >= loaded_at_;
}

std::string engine_orders::text() const
{
    return boost::json::serialize(to_json(in_force_));
}

boost::json::array engine_orders::record() const
{
    boost::json::array all;
    for (engine_order const& order : accepted_)
    {
        all.push_back(to_json(order));
    }
    return all;
}

} // namespace plumdale::standins
