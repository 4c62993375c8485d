#include "commands.hpp"
#include "http_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <list>
#include <map>

namespace plumdale::standins
{
namespace
{

namespace json = boost::json;
using clock = std::chrono::steady_clock;

constexpr std::string_view config_path = "/v1/config/";
constexpr std::string_view weights_path = "/v1/weights/";

/// One published value with the revision that set it.
struct config_entry
{
    std::uint64_t revision = 0;
    json::value value;
};

using config_entries = std::map<std::string, config_entry, std::less<>>;

/// Allows `rate` calls in each second.
class call_rate_limiter
{
public:
    explicit call_rate_limiter(std::uint64_t rate) : rate_{rate} {}

    [[nodiscard]] bool try_acquire(clock::time_point now)
    {
        if (now - window_start_ >= std::chrono::seconds{1})
        {
            window_start_ = now;
            calls_in_window_ = 0;
        }
        return ++calls_in_window_ <= rate_;
    }

private:
    std::uint64_t rate_;
    std::uint64_t calls_in_window_ = 0;
    clock::time_point window_start_{};
};

/// A watch that waits for a change; its exchange is null once it is answered.
struct pending_watch
{
    std::uint64_t after = 0;
    http_exchange_ptr exchange;
    boost::asio::steady_timer timer;
};

/// Configuration, VM list and weight store of the platform.
class platform
{
public:
    explicit platform(boost::asio::io_context& io) : io_{io} {}

    /// Takes `{"config": {key: value}, "vms": {...}, "call_limit": n, "vms_lag_ms": n,
    /// "weights_per_second": n, "down": b, "stale": b}`; each member is optional, a null value
    /// removes a key.
    void apply(json::object const& wanted)
    {
        if (auto const* values = wanted.if_contains("config"))
        {
            for (auto const& item : values->as_object())
            {
                publish(std::string{item.key()}, item.value());
            }
        }
        if (auto const* list = wanted.if_contains("vms"))
        {
            update_vm_list(list->as_object());
        }
        apply_modes(wanted);
        notify_watches();
    }

    void handle(http_request const& request, http_exchange_ptr const& exchange)
    {
        if (request.path == "/control")
        {
            apply(json::parse(request.body).as_object());
            exchange->answer(200, json::serialize(json::object{{"revision", revision_}}));
            return;
        }
        if (request.path == "/v1/record")
        {
            exchange->answer(200, json::serialize(json::object{{"calls", calls_}}));
            return;
        }
        ++calls_;
        if (down_)
        {
            exchange->cut();
            return;
        }
        if (!limit_.try_acquire(clock::now()))
        {
            exchange->answer(429, R"({"error":"call limit"})");
            return;
        }
        read(request, exchange);
    }

private:
    void read(http_request const& request, http_exchange_ptr const& exchange)
    {
        std::string_view const path = request.path;
        if (path == "/v1/vms")
        {
            exchange->answer(200, json::serialize(vm_list_));
        }
        else if (path == "/v1/config")
        {
            watch(request, exchange);
        }
        else if (path.substr(0, config_path.size()) == config_path)
        {
            read_key(path.substr(config_path.size()), exchange);
        }
        else if (path.substr(0, weights_path.size()) == weights_path)
        {
            bool const allowed = weight_limit_.try_acquire(clock::now());
            exchange->answer(allowed ? 200 : 429, "{}");
        }
        else
        {
            exchange->answer(404, R"({"error":"not found"})");
        }
    }

    void publish(std::string key, json::value const& value)
    {
        ++revision_;
        if (value.is_null())
        {
            values_.erase(key);
            return;
        }
        values_[std::move(key)] = config_entry{revision_, value};
    }

    void update_vm_list(json::object const& list)
    {
        if (vm_list_lag_.count() == 0)
        {
            vm_list_ = list;
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, vm_list_lag_);
        timer->async_wait([this, timer, list](boost::system::error_code) { vm_list_ = list; });
    }

    void apply_modes(json::object const& wanted)
    {
        if (auto const* value = wanted.if_contains("down"))
        {
            down_ = value->as_bool();
        }
        if (auto const* value = wanted.if_contains("stale"))
        {
            set_stale(value->as_bool());
        }
        if (auto const* value = wanted.if_contains("vms_lag_ms"))
        {
            vm_list_lag_ = std::chrono::milliseconds{value->to_number<int>()};
        }
        if (auto const* value = wanted.if_contains("call_limit"))
        {
            limit_ = call_rate_limiter{value->to_number<std::uint64_t>()};
        }
        if (auto const* value = wanted.if_contains("weights_per_second"))
        {
            weight_limit_ = call_rate_limiter{value->to_number<std::uint64_t>()};
        }
        if (down_)
        {
            abort_watches();
        }
    }

    /// While stale, readers get the values from the start of the stale period.
    void set_stale(bool stale)
    {
        if (stale && !stale_)
        {
            frozen_values_ = values_;
            frozen_revision_ = revision_;
        }
        stale_ = stale;
    }

    [[nodiscard]] config_entries const& visible_values() const
    {
        return stale_ ? frozen_values_ : values_;
    }

    [[nodiscard]] std::uint64_t visible_revision() const
    {
        return stale_ ? frozen_revision_ : revision_;
    }

    void read_key(std::string_view key, http_exchange_ptr const& exchange)
    {
        auto const found = visible_values().find(key);
        if (found == visible_values().end())
        {
            exchange->answer(404, R"({"error":"no such key"})");
            return;
        }
        exchange->answer(200, json::serialize(json::object{{"key", found->first},
                                                           {"revision", found->second.revision},
                                                           {"value", found->second.value}}));
    }

    void watch(http_request const& request, http_exchange_ptr const& exchange)
    {
        std::uint64_t const after = request.number("after").value_or(0);
        std::uint64_t const wait = request.number("wait_ms").value_or(0);
        if (visible_revision() > after || wait == 0)
        {
            exchange->answer(200, changes_text(after));
            return;
        }
        auto const watch = std::make_shared<pending_watch>(
            pending_watch{after, exchange, boost::asio::steady_timer{io_}});
        watches_.push_back(watch);
        watch->timer.expires_after(std::chrono::milliseconds{wait});
        watch->timer.async_wait(
            [this, watch](boost::system::error_code)
            {
                watches_.remove(watch);
                if (watch->exchange)
                {
                    watch->exchange->answer(200, changes_text(watch->after));
                }
            });
    }

    [[nodiscard]] std::string changes_text(std::uint64_t after) const
    {
        json::array changed;
        for (auto const& [key, published] : visible_values())
        {
            if (published.revision > after)
            {
                changed.push_back(json::object{
                    {"key", key}, {"revision", published.revision}, {"value", published.value}});
            }
        }
        return json::serialize(
            json::object{{"revision", visible_revision()}, {"entries", changed}});
    }

    void notify_watches()
    {
        for (auto const& watch : watches_)
        {
            if (visible_revision() > watch->after && watch->exchange)
            {
                watch->exchange->answer(200, changes_text(watch->after));
                watch->exchange = nullptr;
                watch->timer.cancel();
            }
        }
    }

    void abort_watches()
    {
        for (auto const& watch : watches_)
        {
            watch->exchange = nullptr;
            watch->timer.cancel();
        }
    }

    boost::asio::io_context& io_;
    config_entries values_;
    config_entries frozen_values_;
    std::uint64_t revision_ = 0;
    std::uint64_t frozen_revision_ = 0;
    json::object vm_list_{{"upstreams", json::array{}}, {"entry_vms", json::array{}}};
    std::list<std::shared_ptr<pending_watch>> watches_;
    std::chrono::milliseconds vm_list_lag_{0};
    call_rate_limiter limit_{2000};
    call_rate_limiter weight_limit_{1};
    std::uint64_t calls_ = 0;
    bool down_ = false;
    bool stale_ = false;
};

} // namespace

int run_platform(arguments args)
{
    TCLAP::CmdLine line{"The platform: configuration, VM list, weight store.", ' ', "0.1"};
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "0 picks a free port", false, 0, "N", line};
    TCLAP::ValueArg<std::string> config{"",     "config", "JSON, as for /control", false, "",
                                        "FILE", line};
    line.parse(args);
    boost::asio::io_context io{1};
    platform stand_in{io};
    if (config.isSet())
    {
        std::ifstream file{config.getValue()};
        std::string const text{std::istreambuf_iterator<char>{file}, {}};
        stand_in.apply(json::parse(text).as_object());
    }
    http_server const server{io, port.getValue(),
                             [&](http_request const& request, http_exchange_ptr const& exchange)
                             {
                                 stand_in.handle(request, exchange);
                             }};
    return serve(io, server.port());
}

} // namespace plumdale::standins
