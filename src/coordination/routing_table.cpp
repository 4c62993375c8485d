#include <plumdale/coordination/routing_table.hpp>

#include <algorithm>
#include <utility>

namespace plumdale::coordination
{

routing_table::routing_table(state::routing_configuration configuration)
    : configuration_{std::move(configuration)}
{
    for (std::size_t i = 0; i < configuration_.routes.size(); ++i)
    {
        routes_[configuration_.routes[i].host].push_back(i);
    }
    for (auto& [host, indices] : routes_)
    {
        std::stable_sort(indices.begin(), indices.end(),
                         [this](std::size_t a, std::size_t b) {
                             return configuration_.routes[a].prefix.size() >
                                    configuration_.routes[b].prefix.size();
                         });
    }
    for (std::size_t i = 0; i < configuration_.customers.size(); ++i)
    {
        for (std::string const& key : configuration_.customers[i].keys)
        {
            customers_.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < configuration_.services.size(); ++i)
    {
        services_.emplace(configuration_.services[i].name, i);
    }
}

state::route const* routing_table::find_route(std::string_view host, std::string_view path) const
{
    auto const found = routes_.find(host);
    if (found == routes_.end())
    {
        return nullptr;
    }
    for (std::size_t const index : found->second)
    {
        if (path.starts_with(configuration_.routes[index].prefix))
        {
            return &configuration_.routes[index];
        }
    }
    return nullptr;
}

state::customer_keys const* routing_table::find_customer(std::string_view key) const
{
    auto const found = customers_.find(key);
    return found == customers_.end() ? nullptr : &configuration_.customers[found->second];
}

state::service const* routing_table::find_service(std::string_view name) const
{
    auto const found = services_.find(name);
    return found == services_.end() ? nullptr : &configuration_.services[found->second];
}

std::string_view routing_table::service_of(state::route const& route, double draw) noexcept
{
    double total = 0.0;
    for (state::weighted_service const& each : route.services)
    {
        total += each.weight;
    }
    double point = draw * total;
    for (state::weighted_service const& each : route.services)
    {
        if (each.weight > 0.0 && point < each.weight)
        {
            return each.service;
        }
        point -= each.weight;
    }
    return route.services.empty() ? std::string_view{} : route.services.back().service;
}

} // namespace plumdale::coordination
