#include <plumdale/coordination/entry_node.hpp>
#include <plumdale/coordination/least_in_flight.hpp>

#include <iostream>

/// \file
/// \brief Embeds the whole decision logic of an entry VM, with a fake engine that answers four
/// words.

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr auto model = state::id_from_name<state::model_id>("lists");

/// \brief Passes the node what the platform publishes: one customer, one preset, one engine.
void configure(entry_node& node, state::time_point& now)
{
    control_actions actions;
    state::customer customer;
    customer.id = state::id_from_name<state::customer_id>("frescura");
    customer.name = "frescura";
    state::preset preset;
    preset.name = "ordinary";
    state::upstream engine;
    engine.id = state::id_from_name<state::upstream_id>("engine-1");
    engine.model = model;
    engine.incarnation_number = {1};
    node.handle(control_event{deadline_reached{}}, now, actions);
    node.handle(customers_published{1, {customer}, {}}, now, actions);
    node.handle(preset_published{1, preset, {}}, now, actions);
    node.handle(switch_published{1, state::id_from_name<state::preset_id>("ordinary")}, now,
                actions);
    node.handle(configuration_read{1}, now, actions);
    node.handle(vm_list_read{{engine}, {}}, now, actions);
    for (int i = 0; i < 100 && !node.fleet()->ready; ++i)
    {
        now += 100ms;
        node.handle(control_event{deadline_reached{}}, now, actions);
    }
}

/// \brief Answers a dispatch as an engine would, and prints what is sent to the caller.
class driver
{
public:
    driver(entry_node& node, state::time_point now) : node_{node}, now_{now} {}

    void handle(request_event const& event)
    {
        request_actions actions;
        node_.handle(0, event, now_, actions);
        for (request_action const& each : actions)
        {
            std::visit([this](auto const& action) { carry_out(action); }, each);
        }
    }

    [[nodiscard]] bool whole() const
    {
        return whole_;
    }

private:
    void carry_out(open_stream const& open)
    {
        constexpr std::string_view words[] = {"milk ", "eggs ", "bread ", "yogurt "};
        std::uint32_t index = 0;
        for (std::string_view const word : words)
        {
            now_ += 20ms;
            handle(upstream_token{open.stream, open.generation, index++, std::string{word}});
        }
        handle(upstream_finished{open.stream, open.generation, index});
    }

    void carry_out(send_token const& token)
    {
        std::cout << token.text << std::flush;
    }

    void carry_out(send_finished const& end)
    {
        std::cout << "(" << end.count << " tokens)\n";
        whole_ = true;
    }

    void carry_out(send_refused const& end)
    {
        std::cout << state::answer_for(end.kind).message << '\n';
    }

    template <class Other>
    void carry_out(Other const& /*action*/)
    {
    }

    entry_node& node_;
    state::time_point now_;
    bool whole_ = false;
};

} // namespace

int main()
{
    node_settings settings;
    settings.self = {state::id_from_name<state::node_id>("vm-1"),
                     state::id_from_name<state::zone_id>("heredia-a"),
                     {1},
                     0,
                     {},
                     {},
                     {}};
    settings.fleet_key = "an example fleet key";
    entry_node node{settings, [](std::uint32_t) { return std::make_unique<least_in_flight>(); }, 1};
    state::time_point now{1h};
    configure(node, now);

    state::request request;
    request.model = model;
    driver caller{node, now};
    caller.handle(deadline_reached{});
    caller.handle(request_received{{1}, request, {}});
    return caller.whole() ? 0 : 1;
}
