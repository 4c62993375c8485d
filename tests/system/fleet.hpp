#pragma once

#include "process.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <programs/plumctl/generate_session.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// \file
/// \brief A whole deployment in separate processes on loopback.

namespace plumdale::system_tests
{

inline constexpr char const* customer_key = "demo-customer-key";
inline constexpr char const* operator_key = "demo-operator-key";
/// \brief Known from the configuration only, not from the settings.
inline constexpr char const* second_operator_key = "second-operator-key";

struct fleet_shape
{
    int entry_vms = 3;
    int engines = 2;
    bool relays = false; ///< A relay in front of each engine.
    std::vector<std::string> engine_args{"--token-ms", "5"};
};

/// \brief An engine, and the relay in front of it if there is one.
struct engine_instance
{
    std::unique_ptr<process> program;
    std::unique_ptr<process> relay;
    std::string address;        ///< The engine's own, for record and control.
    std::string listed_address; ///< What the platform lists: the relay's, if there is one.
    std::string relay_control_address;
    std::string zone;
    std::uint64_t incarnation_number = 0;
};

struct entry_instance
{
    std::unique_ptr<process> program;
    std::string address;
    std::string datagram_address;
};

/// \brief The answer that a caller received, and its failure if there is one.
struct caller_result
{
    plumctl::generate_answer answer;
    std::optional<state::failure> failed;
};

/// \brief Platform, engines, a plain service and entry VMs; stopped when it goes out of scope.
class fleet
{
public:
    explicit fleet(fleet_shape const& shape);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    ~fleet();

    [[nodiscard]] engine_instance& engine(std::size_t number);
    [[nodiscard]] entry_instance& entry(std::size_t number);
    [[nodiscard]] std::size_t entry_count() const noexcept;
    [[nodiscard]] std::string const& platform() const noexcept;
    [[nodiscard]] std::string const& service() const noexcept;

    /// \brief Starts one more entry VM and waits until it is ready; returns its number.
    std::size_t add_entry();
    /// \brief Publishes the running upstreams and entry VMs to the platform.
    void publish_vm_list(boost::json::object const& leaving = {});
    /// \brief Returns whether the entry VM reports that it is ready.
    [[nodiscard]] bool ready(std::size_t number) const;

    /// \brief Returns options for a caller that tries the entry VMs in this order.
    [[nodiscard]] plumctl::generate_options caller(std::vector<std::size_t> const& entries,
                                                   std::string const& kind, int tokens) const;

    /// \brief Returns every run of every engine that still responds, with `engine` added.
    [[nodiscard]] boost::json::array runs() const;
    /// \brief Returns how often the engines ran an identity.
    [[nodiscard]] std::size_t runs_of(std::string const& generation) const;
    /// \brief Returns the engine that runs an identity now, or no value.
    [[nodiscard]] std::optional<std::size_t> engine_running(std::string const& generation) const;

private:
    void start_engine(fleet_shape const& shape, int number);
    std::size_t start_entry();

    std::filesystem::path folder_;
    std::unique_ptr<process> platform_program_;
    std::unique_ptr<process> service_program_;
    std::string platform_;
    std::string service_;
    std::deque<engine_instance> engines_;
    std::deque<entry_instance> entries_;
};

/// \brief A caller on a thread of its own.
class running_caller
{
public:
    explicit running_caller(plumctl::generate_options options);
    running_caller(running_caller const&) = delete;
    running_caller& operator=(running_caller const&) = delete;
    ~running_caller();

    /// \brief Returns the number of tokens received so far.
    [[nodiscard]] std::uint32_t tokens() const noexcept;
    [[nodiscard]] bool ended() const noexcept;
    /// \brief Waits for the end and returns the caller's result.
    [[nodiscard]] caller_result const& finish();

private:
    std::atomic<std::uint32_t> tokens_{0};
    std::atomic<bool> ended_{false};
    caller_result result_;
    std::thread thread_;
};

/// \brief What `describe_fault` returns for a correct answer.
inline constexpr std::string_view no_fault{};

/// \brief Returns the fault in an answer that must be complete, or an empty text.
[[nodiscard]] std::string describe_fault(caller_result const& result, std::uint32_t expected);

} // namespace plumdale::system_tests
