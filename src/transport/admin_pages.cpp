#include "admin_pages.hpp"

#include "clock.hpp"

#include <plumdale/protocol/admin_codec.hpp>
#include <plumdale/protocol/caller_codec.hpp>
#include <plumdale/protocol/digest.hpp>
#include <plumdale/protocol/error_budget_text.hpp>
#include <plumdale/protocol/generation_text.hpp>

#include <boost/asio/post.hpp>
#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <utility>
#include <vector>

namespace plumdale::transport
{
namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view admin_prefix = "/admin/";
constexpr std::string_view preset_prefix = "/admin/presets/";

page error_page(state::error_kind kind, std::string_view detail = {})
{
    protocol::error_details const error{kind, detail, std::chrono::seconds{1}, {}, 0};
    return {state::answer_for(kind).status, "application/json", protocol::error_body(error)};
}

std::string_view bearer_key(page_request const& request)
{
    return request.authorization.starts_with(bearer_prefix)
               ? request.authorization.substr(bearer_prefix.size())
               : std::string_view{};
}

protocol::error_budget_names
names_from(std::shared_ptr<coordination::fleet_snapshot const> const& fleet)
{
    protocol::error_budget_names names;
    names.service = [fleet](state::model_id model)
    {
        auto const served = fleet->upstreams_of(model);
        return served.empty() ? protocol::to_hex(model.value) : served.front().info.model_name;
    };
    names.customer = [fleet](state::customer_id id)
    {
        auto const found =
            std::find_if(fleet->customers.begin(), fleet->customers.end(),
                         [id](state::customer const& each) { return each.id == id; });
        return found == fleet->customers.end() ? protocol::to_hex(id.value) : found->name;
    };
    return names;
}

std::string delivery_text(coordination::entry_node const& node)
{
    std::string text;
    for (delivery_row const& row : delivery_rows())
    {
        std::uint64_t total = 0;
        for (std::uint32_t i = 0; i < node.shard_count(); ++i)
        {
            total += (node.shard_counts(i).*row.member).load(std::memory_order_relaxed);
        }
        text += counter_text(row.name, total, row.help);
    }
    return text;
}

coordination::error_budget_report merge_error_budgets(std::span<worker_sample const> samples)
{
    std::vector<coordination::error_budget_report> reports;
    for (worker_sample const& each : samples)
    {
        reports.push_back(each.error_budgets);
    }
    return coordination::merge(reports);
}

} // namespace

admin_pages::admin_pages(coordination::entry_node& node, protocol::daemon_settings const& settings,
                         control_runner& control, std::span<std::unique_ptr<worker> const> workers)
    : node_{node}, settings_{settings}, control_{control}, workers_{workers}
{
}

admin_pages::row const* admin_pages::find(page_request const& request)
{
    // The control plane authorizes a switch, as it knows the operators that the configuration
    // lists.
    static constexpr std::array<row, 7> rows{{
        {"GET", "/health", &admin_pages::health, false},
        {"GET", "/metrics", &admin_pages::metrics, false},
        {"GET", "/admin/status", &admin_pages::status, true},
        {"GET", preset_prefix, &admin_pages::preset, true},
        {"POST", "/admin/preset", &admin_pages::switch_preset, false},
        {"POST", "/admin/drain", &admin_pages::drain, true},
        {"GET", "/admin/burn", &admin_pages::error_budgets, true},
    }};
    for (row const& each : rows)
    {
        bool const same_path = each.path.ends_with('/') ? request.target.starts_with(each.path)
                                                        : request.target == each.path;
        if (same_path && request.method == each.method)
        {
            return &each;
        }
    }
    return nullptr;
}

bool admin_pages::handle(page_request const& request, page_callback const& answer)
{
    row const* const found = find(request);
    if (found == nullptr)
    {
        if (!request.target.starts_with(admin_prefix))
        {
            return false;
        }
        answer(error_page(state::error_kind::invalid_request, "no such page"));
        return true;
    }
    if (found->operator_only && !is_operator(request))
    {
        answer(error_page(state::error_kind::not_allowed));
        return true;
    }
    (this->*found->serve)(request, answer);
    return true;
}

// Digests are compared in constant time, so that the duration reveals nothing about the key.
bool admin_pages::is_operator(page_request const& request) const
{
    auto const expected = protocol::parse_digest(settings_.operator_key_sha256);
    state::sha256_digest const given = protocol::sha256(bearer_key(request));
    bool const by_settings =
        expected && CRYPTO_memcmp(expected->data(), given.data(), given.size()) == 0;
    return by_settings || node_.fleet()->find_operator(given) != nullptr;
}

void admin_pages::health(page_request const& /*request*/, page_callback const& answer)
{
    auto const fleet = node_.fleet();
    bool const serving = fleet->ready && !fleet->draining;
    answer({serving ? 200U : 503U, "text/plain",
            std::string{protocol::readiness_name(*fleet)} + '\n'});
}

void admin_pages::status(page_request const& /*request*/, page_callback const& answer)
{
    protocol::node_status const node{settings_.node.self, settings_.zone, node_.in_flight()};
    answer({200, "application/json", protocol::status_body(node, *node_.fleet())});
}

void admin_pages::preset(page_request const& request, page_callback const& answer)
{
    auto const fleet = node_.fleet();
    std::string_view const name = request.target.substr(preset_prefix.size());
    auto const found =
        std::find_if(fleet->presets.begin(), fleet->presets.end(),
                     [name](state::preset const& each) { return each.name == name; });
    answer(found == fleet->presets.end()
               ? error_page(state::error_kind::unknown_preset)
               : page{200, "application/json", protocol::preset_body(*found, *fleet)});
}

void admin_pages::switch_preset(page_request const& request, page_callback const& answer)
{
    auto const decoded = protocol::decode_switch_request(request.body);
    if (!decoded)
    {
        return answer(error_page(decoded.error().kind, decoded.error().detail));
    }
    control_.request_switch({{},
                             protocol::sha256(bearer_key(request)),
                             decoded.value().preset,
                             decoded.value().over_revision},
                            [this, answer](coordination::switch_answer const& result)
                            {
                                answer({protocol::http_status_of(result.outcome),
                                        "application/json",
                                        protocol::switch_body(result, *node_.fleet())});
                            });
}

void admin_pages::drain(page_request const& /*request*/, page_callback const& answer)
{
    control_.post(coordination::drain_requested{});
    answer({200, "application/json", "{\"in_flight\":" + std::to_string(node_.in_flight()) + "}"});
}

void admin_pages::metrics(page_request const& /*request*/, page_callback const& answer)
{
    collect(
        [this, answer](std::span<worker_sample const> samples)
        {
            auto const fleet = node_.fleet();
            gauge_metrics const gauges{
                node_.in_flight(),        fleet->members.size(), fleet->upstreams.size(),
                fleet->in_force.revision, fleet->ready,          fleet->draining,
                fleet->platform_reachable};
            std::string text = metrics_text(samples, control_.metrics(), gauges);
            text += delivery_text(node_);
            text += protocol::error_budget_metrics(merge_error_budgets(samples),
                                                   coordination::error_budget_settings{},
                                                   names_from(fleet));
            answer({200, "text/plain; version=0.0.4", std::move(text)});
        });
}

void admin_pages::error_budgets(page_request const& /*request*/, page_callback const& answer)
{
    collect(
        [this, answer](std::span<worker_sample const> samples)
        {
            answer({200, "application/json",
                    protocol::error_budget_json(merge_error_budgets(samples),
                                                coordination::error_budget_settings{},
                                                names_from(node_.fleet()))});
        });
}

// Each worker copies its own figures on its own thread; the last one calls the handler.
void admin_pages::collect(samples_handler handler)
{
    struct collection
    {
        std::mutex mutex;
        std::vector<worker_sample> samples;
        std::size_t expected = 0;
        samples_handler handler;
    };
    auto const all = std::make_shared<collection>();
    all->expected = workers_.size();
    all->handler = std::move(handler);
    for (auto const& each : workers_)
    {
        net::post(each->context(),
                  [all, &sampled_worker = *each]
                  {
                      worker_sample taken = take_sample(sampled_worker.metrics(), now());
                      std::unique_lock lock{all->mutex};
                      all->samples.push_back(std::move(taken));
                      if (all->samples.size() == all->expected)
                      {
                          lock.unlock();
                          all->handler(all->samples);
                      }
                  });
    }
}

} // namespace plumdale::transport
