#include "peer_vm.hpp"

#include "transport/boot_clock.hpp"
#include "transport/peer_call_admission.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace plumdale::test
{
namespace
{

namespace net = transport::net;
using transport::tcp;

protocol::forward_settings settings_of(forward_fixture const& fixture, unsigned number)
{
    protocol::forward_settings settings = fixture.settings;
    settings.name = "peer-" + std::to_string(number);
    settings.datagrams.port = static_cast<std::uint16_t>(settings.datagrams.port + number);
    return settings;
}

void list_members(forward_fixture const& fixture, transport::forward_core& core,
                  dead_address const* address, std::vector<std::size_t> const& which)
{
    static std::uint64_t revision = 1'000;
    ++revision;
    std::vector<state::service_member> members;
    for (std::size_t i = 0; i < fixture.upstreams.size(); ++i)
    {
        members.push_back(fixture.upstreams[i]->make_member(
            i < forward_fixture::plain_upstreams ? "plain" : "engine", revision));
        bool const is_cut =
            which.empty() || std::find(which.begin(), which.end(), i) != which.end();
        if (address != nullptr && is_cut)
        {
            members.back().address = address->endpoint();
        }
    }
    core.apply_members(members, "test");
}

} // namespace

// -- dead_address ---------------------------------------------------------------------------------

// A listener whose queue is full drops the first packet of further connections.
dead_address::dead_address(lost_path how)
{
    int const listener = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(listener >= 0);
    sockets_.push_back(listener);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    endpoint_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
    if (how == lost_path::refused)
    {
        return;
    }
    REQUIRE(::listen(listener, 0) == 0);
    constexpr int more_than_queued = 4;
    for (int i = 0; i < more_than_queued; ++i)
    {
        sockets_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        // Most of them never end.
        static_cast<void>(::connect(sockets_.back(), reinterpret_cast<sockaddr*>(&address), size));
    }
}

dead_address::~dead_address()
{
    for (int const each : sockets_)
    {
        ::close(each);
    }
}

// -- peer_vm --------------------------------------------------------------------------------------

peer_vm::peer_vm(forward_fixture& fixture, unsigned number)
    : settings{settings_of(fixture, number)}, core{fixture.context, settings, fixture.dialect,
                                                   fixture.log},
      fixture_{fixture}, acceptor_{fixture.context,
                                   tcp::endpoint{net::ip::address_v4::loopback(), 0}}
{
    core.apply_configuration(fixture.core.configuration_text, "test");
    list_members(fixture, core, nullptr, {});
    core.mark_list_whole();
    accept();
}

peer_vm::~peer_vm()
{
    acceptor_.close();
    drop_connections();
    fixture_.context.restart();
    fixture_.context.poll();
}

void peer_vm::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            channels_.push_back(std::make_shared<transport::caller_channel>(
                std::move(socket),
                [this]
                {
                    transport::channel_options options;
                    options.limits = limits;
                    options.is_peer = true;
                    return options;
                },
                [this](std::shared_ptr<transport::caller_channel> const& channel,
                       transport::received_call const& call)
                { return transport::start_peer_call(core, channel, call); },
                [](transport::caller_channel&) {}));
            channels_.back()->start();
            accept();
        });
}

void peer_vm::drop_connections()
{
    for (auto const& channel : channels_)
    {
        channel->close_now();
    }
    channels_.clear();
}

void peer_vm::end_grace()
{
    for (auto const& channel : channels_)
    {
        channel->end_unanswered_call();
    }
}

void peer_vm::join()
{
    coordination::fleet_update update;
    update.sender = core.self;
    update.incarnation_number = {1};
    update.sequence = ++sequence_;
    update.configuration = core.version();
    update.directory = core.directory.digest();
    fixture_.core.fleet.apply_update(update, transport::from_tcp(acceptor_.local_endpoint()),
                                     fixture_.core.directory.digest(), transport::boot_now());
}

// -- paths ----------------------------------------------------------------------------------------

void cut_paths(forward_fixture const& fixture, transport::forward_core& core,
               dead_address const& address, std::vector<std::size_t> const& which)
{
    list_members(fixture, core, &address, which);
}

void restore_paths(forward_fixture const& fixture, transport::forward_core& core)
{
    list_members(fixture, core, nullptr, {});
}

} // namespace plumdale::test
