#include "fleet.hpp"

#include "web.hpp"

#include <boost/json.hpp>

#include <atomic>
#include <fstream>
#include <standins/answer_check.hpp>
#include <stdexcept>
#include <unistd.h>

namespace plumdale::system_tests
{
namespace
{

namespace json = boost::json;

constexpr char const* customer_digest =
    "6f63f67d08a7af2f13f5d1b42e28040db9af50cb9b1a43ae3a00d0cab918eeb3";
constexpr char const* second_operator_digest =
    "67abcbdb207f6824e38448bd8e2e8b281631c39debdc23f6d6d2cefa9fd9984c";
constexpr char const* operator_digest =
    "4a7c449d22a99026fac16a47621ff68792ff589f72334ea3950ce186a5615e9a";

json::object preset(std::string const& name)
{
    return {{"name", name},        {"overflow_chance", 0.005}, {"horizon_ms", 20'000},
            {"max_batch", 48},     {"draft_wait_ms", 2'000},   {"question_headroom", 0.1},
            {"retry_percent", 10}, {"retry_after_ms", 500},    {"assignments", json::array{}}};
}

json::object configuration()
{
    json::object const customer{{"name", "frescura"},
                                {"key_sha256", customer_digest},
                                {"weight", 1.0},
                                {"token_rate_limit", 0},
                                {"in_flight_limit", 0}};
    json::object const account{{"name", "ana"}, {"key_sha256", operator_digest}};
    json::object const second{{"name", "luis"}, {"key_sha256", second_operator_digest}};
    return {{"presets/ordinary", preset("ordinary")},
            {"presets/peak", preset("peak")},
            {"switch", json::object{{"preset", "ordinary"}}},
            {"customers", json::object{{"customers", json::array{customer}}}},
            {"operators", json::object{{"operators", json::array{account, second}}}}};
}

std::string zone_of(int number)
{
    return number % 2 == 0 ? "heredia-a" : "sanjose-a";
}

std::string settings_text(std::string const& zone, std::string const& platform,
                          json::array const& seeds)
{
    return json::serialize(json::object{{"zone", zone},
                                        {"seeds", seeds},
                                        {"callers", "127.0.0.1:0"},
                                        {"datagrams", "127.0.0.1:0"},
                                        {"streams", "127.0.0.1:0"},
                                        {"platform", platform},
                                        {"fleet_key", "a key for the tests only"},
                                        {"operator_key_sha256", operator_digest},
                                        {"configuration_interval_ms", 200},
                                        {"vm_list_interval_ms", 200},
                                        {"load_interval_ms", 200},
                                        {"first_token_timeout_ms", 2'000},
                                        {"token_timeout_ms", 500},
                                        {"catch_up_wait_ms", 1'000},
                                        {"key_takeover_delay_ms", 1'500},
                                        {"log_level", "warning"}});
}

} // namespace

fleet::fleet(fleet_shape const& shape)
{
    std::string name = (std::filesystem::temp_directory_path() / "plumdale-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error{"cannot create a directory for settings"};
    }
    folder_ = name;
    platform_program_ =
        std::make_unique<process>("plumdale-standins", std::vector<std::string>{"platform"});
    platform_ = platform_program_->line_after("listening");
    service_program_ =
        std::make_unique<process>("plumdale-standins", std::vector<std::string>{"service"});
    service_ = service_program_->line_after("listening");
    for (int i = 0; i < shape.engines; ++i)
    {
        start_engine(shape, i);
    }
    control(platform_, {{"config", configuration()}});
    publish_vm_list();
    for (int i = 0; i < shape.entry_vms; ++i)
    {
        start_entry();
    }
    publish_vm_list();
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        if (!eventually([&] { return ready(i); }))
        {
            throw std::runtime_error{"an entry VM did not become ready"};
        }
    }
}

fleet::~fleet()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void fleet::start_engine(fleet_shape const& shape, int number)
{
    engine_instance instance;
    instance.zone = zone_of(number);
    std::vector<std::string> args{"engine", "--zone", instance.zone};
    args.insert(args.end(), shape.engine_args.begin(), shape.engine_args.end());
    instance.program = std::make_unique<process>("plumdale-standins", args);
    instance.address = instance.program->line_after("listening");
    instance.listed_address = instance.address;
    instance.incarnation_number =
        get(instance.address, "/v1/load").at("uptime").to_number<std::uint64_t>();
    if (shape.relays)
    {
        instance.relay = std::make_unique<process>(
            "plumdale-standins", std::vector<std::string>{"relay", "--to", instance.address});
        instance.relay_control_address = instance.relay->line_after("control");
        instance.listed_address = instance.relay->line_after("listening");
    }
    engines_.push_back(std::move(instance));
}

std::size_t fleet::start_entry()
{
    std::size_t const number = entries_.size();
    auto const file = folder_ / (std::to_string(number) + ".json");
    json::array seeds;
    for (entry_instance const& known : entries_)
    {
        seeds.push_back(json::value(known.datagram_address));
    }
    std::ofstream{file} << settings_text(zone_of(static_cast<int>(number)), platform_, seeds);
    entry_instance instance;
    instance.program =
        std::make_unique<process>("plumdaled", std::vector<std::string>{"--config", file.string()});
    instance.datagram_address = instance.program->line_after("datagrams");
    instance.address = instance.program->line_after("listening");
    entries_.push_back(std::move(instance));
    return number;
}

std::size_t fleet::add_entry()
{
    std::size_t const number = start_entry();
    publish_vm_list();
    if (!eventually([&] { return ready(number); }))
    {
        throw std::runtime_error{"an added entry VM did not become ready"};
    }
    return number;
}

void fleet::publish_vm_list(json::object const& leaving)
{
    json::array upstreams;
    for (engine_instance const& instance : engines_)
    {
        upstreams.push_back(json::object{{"name", instance.address},
                                         {"kind", "engine"},
                                         {"zone", instance.zone},
                                         {"model", "lists"},
                                         {"address", instance.listed_address},
                                         {"uptime", instance.incarnation_number},
                                         {"leaving", leaving.contains(instance.address)},
                                         {"fences_orders", true}});
    }
    upstreams.push_back(json::object{{"name", "grocers"},
                                     {"kind", "service"},
                                     {"zone", zone_of(0)},
                                     {"model", "grocers"},
                                     {"address", service_},
                                     {"uptime", 1},
                                     {"leaving", false},
                                     {"fences_orders", false}});
    json::array vms;
    for (entry_instance& instance : entries_)
    {
        if (instance.program->running())
        {
            vms.push_back(json::object{{"address", instance.datagram_address}, {"leaving", false}});
        }
    }
    control(platform_, {{"vms", json::object{{"upstreams", upstreams}, {"entry_vms", vms}}}});
}

bool fleet::ready(std::size_t number) const
{
    return request(entries_[number].address, "GET", "/health", "").status == 200;
}

engine_instance& fleet::engine(std::size_t number)
{
    return engines_.at(number);
}

entry_instance& fleet::entry(std::size_t number)
{
    return entries_.at(number);
}

std::size_t fleet::entry_count() const noexcept
{
    return entries_.size();
}

std::string const& fleet::platform() const noexcept
{
    return platform_;
}

std::string const& fleet::service() const noexcept
{
    return service_;
}

plumctl::generate_options fleet::caller(std::vector<std::size_t> const& entries,
                                        std::string const& kind, int tokens) const
{
    static std::atomic<int> count{0};
    plumctl::generate_options options;
    for (std::size_t const number : entries)
    {
        options.entries.push_back(entries_.at(number).address);
    }
    options.key = customer_key;
    options.model = "lists";
    options.kind = kind;
    options.prompt =
        "request " + std::to_string(++count) + " [tokens=" + std::to_string(tokens) + "]";
    options.idle_timeout = std::chrono::seconds{3};
    options.attach_timeout = default_timeout;
    return options;
}

json::array fleet::runs() const
{
    json::array all;
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        answer const got =
            request(engines_[i].address, "GET", "/v1/record", "", std::chrono::milliseconds{500});
        if (got.status != 200)
        {
            continue;
        }
        json::value record = json::parse(got.body);
        for (json::value& run : record.as_object().at("runs").as_array())
        {
            run.as_object()["engine"] = i;
            all.push_back(run);
        }
    }
    return all;
}

std::size_t fleet::runs_of(std::string const& generation) const
{
    std::size_t count = 0;
    for (json::value const& run : runs())
    {
        count += run.at("generation").as_string() == generation ? 1U : 0U;
    }
    return count;
}

std::optional<std::size_t> fleet::engine_running(std::string const& generation) const
{
    for (json::value const& run : runs())
    {
        if (run.at("generation").as_string() == generation &&
            run.at("state").as_string() == "running")
        {
            return run.at("engine").to_number<std::size_t>();
        }
    }
    return std::nullopt;
}

running_caller::running_caller(plumctl::generate_options options)
    : thread_{[this, options = std::move(options)]
              {
                  plumctl::generate_listener const listener{[this](std::string const&)
                                                            { ++tokens_; },
                                                            [](std::string const&) {
                                                            }};
                  plumctl::generate_session session{options, listener};
                  result_.failed = session.run();
                  result_.answer = session.answer();
                  ended_ = true;
              }}
{
}

running_caller::~running_caller()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::uint32_t running_caller::tokens() const noexcept
{
    return tokens_;
}

bool running_caller::ended() const noexcept
{
    return ended_;
}

caller_result const& running_caller::finish()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
    return result_;
}

std::string describe_fault(caller_result const& result, std::uint32_t expected)
{
    std::vector<standins::received_token> tokens;
    for (plumctl::token_event const& token : result.answer.tokens)
    {
        tokens.push_back({token.id, token.text});
    }
    std::string const fault = standins::check_answer(tokens, expected);
    if (!result.failed)
    {
        return fault;
    }
    return std::string{state::answer_for(result.failed->kind).name} + " (" + result.failed->detail +
           ") " + fault;
}

} // namespace plumdale::system_tests
