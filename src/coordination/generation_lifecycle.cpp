#include <plumdale/coordination/generation_lifecycle.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <new>
#include <utility>

namespace plumdale::coordination
{
namespace
{

namespace front = boost::msm::front;
namespace mpl = boost::mpl;

// -- events ---------------------------------------------------------------------------------------

template <lifecycle_event Event>
struct on
{
};

// -- transition table -----------------------------------------------------------------------------

struct machine_front : front::state_machine_def<machine_front>
{
    // Without these two, each machine carries an event queue that allocates 576 bytes.
    using no_message_queue = int;
    using no_exception_thrown = int;

    template <lifecycle_state State>
    struct in : front::state<>
    {
        static constexpr lifecycle_state value = State;
    };

    using reserved = in<lifecycle_state::reserved>;
    using waiting = in<lifecycle_state::waiting>;
    using starting = in<lifecycle_state::starting>;
    using streaming = in<lifecycle_state::streaming>;
    using resuming = in<lifecycle_state::resuming>;
    using finished = in<lifecycle_state::finished>;
    using failed = in<lifecycle_state::failed>;
    using initial_state = reserved;

    template <class From, lifecycle_event Event, class To>
    using row = front::Row<From, on<Event>, To>;

    // One vector for each group of states: MPL's vectors hold at most twenty rows.
    using rows_before_start = mpl::vector<row<reserved, lifecycle_event::run, waiting>,
                                          row<reserved, lifecycle_event::read, resuming>,
                                          row<reserved, lifecycle_event::fail, failed>,
                                          row<waiting, lifecycle_event::dispatch, starting>,
                                          row<waiting, lifecycle_event::fail, failed>>;
    using rows_from_starting = mpl::vector<row<starting, lifecycle_event::token, streaming>,
                                           row<starting, lifecycle_event::lost, resuming>,
                                           row<starting, lifecycle_event::not_run, waiting>,
                                           row<starting, lifecycle_event::restart, waiting>,
                                           row<starting, lifecycle_event::finish, finished>,
                                           row<starting, lifecycle_event::fail, failed>>;
    using rows_from_streaming = mpl::vector<row<streaming, lifecycle_event::token, streaming>,
                                            row<streaming, lifecycle_event::lost, resuming>,
                                            row<streaming, lifecycle_event::restart, waiting>,
                                            row<streaming, lifecycle_event::finish, finished>,
                                            row<streaming, lifecycle_event::fail, failed>>;
    using rows_from_resuming = mpl::vector<row<resuming, lifecycle_event::token, streaming>,
                                           row<resuming, lifecycle_event::lost, resuming>,
                                           row<resuming, lifecycle_event::restart, waiting>,
                                           row<resuming, lifecycle_event::finish, finished>,
                                           row<resuming, lifecycle_event::fail, failed>>;
    using transition_table =
        mpl::joint_view<mpl::joint_view<rows_before_start, rows_from_starting>,
                        mpl::joint_view<rows_from_streaming, rows_from_resuming>>;

    template <class Machine, class Event>
    void no_transition(Event const& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using machine = boost::msm::back::state_machine<machine_front>;

// -- conversion from and to the public names ------------------------------------------------------

template <lifecycle_state State>
constexpr int id_of = boost::msm::back::get_state_id<machine::stt, machine_front::in<State>>::value;

template <std::size_t... Index>
constexpr std::array<lifecycle_state, sizeof...(Index)> states_by_id(std::index_sequence<Index...>)
{
    std::array<lifecycle_state, sizeof...(Index)> states{};
    ((states[id_of<static_cast<lifecycle_state>(Index)>] = static_cast<lifecycle_state>(Index)),
     ...);
    return states;
}

constexpr std::size_t state_count = static_cast<std::size_t>(lifecycle_state::failed) + 1;
constexpr auto states = states_by_id(std::make_index_sequence<state_count>{});

template <lifecycle_event Event>
bool process(machine& instance)
{
    return instance.process_event(on<Event>{}) == boost::msm::back::HANDLED_TRUE;
}

constexpr std::array processors{
    &process<lifecycle_event::run>,      &process<lifecycle_event::read>,
    &process<lifecycle_event::dispatch>, &process<lifecycle_event::token>,
    &process<lifecycle_event::lost>,     &process<lifecycle_event::not_run>,
    &process<lifecycle_event::restart>,  &process<lifecycle_event::finish>,
    &process<lifecycle_event::fail>,
};

machine& machine_at(std::byte* bytes)
{
    return *std::launder(reinterpret_cast<machine*>(bytes));
}

} // namespace

generation_lifecycle::generation_lifecycle()
{
    static_assert(sizeof(machine) <= machine_bytes);
    auto* const instance = new (machine_.data()) machine;
    instance->start();
}

generation_lifecycle::~generation_lifecycle()
{
    machine_at(machine_.data()).~machine();
}

bool generation_lifecycle::apply(lifecycle_event event)
{
    machine& instance = machine_at(machine_.data());
    bool const moved = processors[static_cast<std::size_t>(event)](instance);
    state_ = states[static_cast<std::size_t>(instance.current_state()[0])];
    return moved;
}

std::string_view lifecycle_state_name(lifecycle_state state) noexcept
{
    static constexpr std::array<std::string_view, state_count> names{
        "reserved", "waiting", "starting", "streaming", "resuming", "finished", "failed"};
    return names[static_cast<std::size_t>(state)];
}

} // namespace plumdale::coordination
