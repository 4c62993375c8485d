#pragma once

#include "forward_fixture.hpp"
#include "transport/store_reader.hpp"

#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief An entry VM that starts, and the store that it reads, for tests of the store's reader.

namespace plumdale::test
{

inline constexpr std::string_view not_published =
    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
inline constexpr std::string_view allow_stale = "allowStale=1";

inline int null_descriptor()
{
    static int const descriptor = ::fileno(std::tmpfile());
    return descriptor;
}

inline std::size_t count(std::string const& text, std::string_view pattern)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(pattern); at != std::string::npos;
         at = text.find(pattern, at + 1))
    {
        ++found;
    }
    return found;
}

/// \brief An entry VM that starts without data, and the store that it reads.
struct starting_vm
{
    explicit starting_vm(bool is_seed)
        : store{context, "store", "a"}, log{null_descriptor(), "vm"},
          settings{settings_for(is_seed)}, core{context, settings, dialect, log}, reader{core}
    {
        reader.start();
    }

    protocol::forward_settings settings_for(bool is_seed) const
    {
        protocol::forward_settings chosen;
        chosen.zone = "a";
        chosen.datagrams = {0x7f000001, 7200};
        chosen.platform = store.make_member("store", 1).address;
        chosen.seeds = {{0x7f000002, 7200}};
        if (is_seed)
        {
            chosen.seeds.push_back(chosen.datagrams);
        }
        return chosen;
    }

    /// \brief Runs for `time` and answers each request with `reply`.
    void run(state::duration time)
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end)
        {
            context.restart();
            context.run_one_for(std::chrono::milliseconds{5});
            answer();
        }
    }

    void answer()
    {
        for (auto const& each : store.connections)
        {
            std::size_t& answered = answer_counts[each.get()];
            if (count(each->received, "GET ") > answered)
            {
                ++answered;
                std::string_view const text = each->received;
                each->send(reply(text.substr(text.rfind("GET "))));
            }
        }
    }

    [[nodiscard]] std::size_t request_count() const
    {
        std::size_t requests = 0;
        for (auto const& each : store.connections)
        {
            requests += count(each->received, "GET ");
        }
        return requests;
    }

    transport::net::io_context context;
    platform::platform_dialect dialect;
    scripted_upstream store;
    transport::decision_log log;
    protocol::forward_settings settings;
    transport::forward_core core;
    transport::store_reader reader;
    /// \brief Returns the store's answer to a request.
    std::function<std::string(std::string_view)> reply = [](std::string_view /*request*/)
    {
        return std::string{not_published};
    };
    std::map<scripted_connection*, std::size_t> answer_counts;
};

inline std::string ok_answer(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

/// \brief Returns the store's answer to a read: a configuration and `orders`, as of `revision`.
inline std::string operator_entries_page(std::string_view orders, std::uint64_t revision)
{
    // {"version":3}
    return ok_answer(
        R"({"items":[{"key":"op/config","value":"eyJ2ZXJzaW9uIjozfQ==","revision":2})" +
        std::string{orders} + R"(],"hasMore":false,"atRev":)" + std::to_string(revision) + "}");
}

inline bool contains(std::string_view request, std::string_view pattern)
{
    return request.find(pattern) != std::string_view::npos;
}

} // namespace plumdale::test
