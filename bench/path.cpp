#include <plumdale/protocol/endpoint_text.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

/// \file
/// \brief The cost of an entry VM in the path: the same streams, in one run, directly from a
/// stand-in engine and through `plumdaled`. `scripts/bench-path` starts the processes.

namespace
{

namespace net = boost::asio;
using tcp = net::ip::tcp;
using bench_clock = std::chrono::steady_clock;

constexpr std::string_view event_mark = "data: {";

/// \brief Latencies of one round of streams, in milliseconds.
struct round_measures
{
    std::vector<double> first_tokens;
    std::vector<double> gaps;
    std::size_t whole = 0;
    double seconds = 0;
};

/// \brief Processor time and memory of the entry VM.
struct process_cost
{
    double cpu_seconds = 0;
    double resident_bytes = 0;
};

process_cost cost_of(int pid)
{
    process_cost cost;
    std::ifstream stat{"/proc/" + std::to_string(pid) + "/stat"};
    std::string line;
    std::getline(stat, line);
    std::istringstream fields{line.substr(line.rfind(')') + 2)};
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
    {
        values.push_back(value);
    }
    constexpr std::size_t user_ticks = 11;
    constexpr std::size_t resident_pages = 21;
    if (values.size() > resident_pages)
    {
        double const ticks = std::stod(values[user_ticks]) + std::stod(values[user_ticks + 1]);
        cost.cpu_seconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
        cost.resident_bytes =
            std::stod(values[resident_pages]) * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    return cost;
}

/// \brief Reads one streamed answer and times its tokens.
class stream : public std::enable_shared_from_this<stream>
{
public:
    stream(net::io_context& context, std::string request, round_measures& measures)
        : socket_{context}, request_{std::move(request)}, measures_{measures}
    {
    }

    void start(tcp::endpoint const& where)
    {
        sent_ = bench_clock::now();
        socket_.async_connect(where,
                              [self = shared_from_this()](boost::system::error_code error)
                              {
                                  if (!error)
                                  {
                                      self->send();
                                  }
                              });
    }

private:
    void send()
    {
        net::async_write(socket_, net::buffer(request_),
                         [self = shared_from_this()](boost::system::error_code error, std::size_t)
                         {
                             if (!error)
                             {
                                 self->read();
                             }
                         });
    }

    void read()
    {
        socket_.async_read_some(
            net::buffer(bytes_),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size)
            {
                if (!error && self->take({self->bytes_.data(), size}))
                {
                    self->read();
                }
            });
    }

    // Returns whether more events follow.
    bool take(std::string_view bytes)
    {
        auto const now = bench_clock::now();
        text_ += bytes;
        std::size_t at = 0;
        for (std::size_t end = text_.find("\n\n"); end != std::string::npos;
             end = text_.find("\n\n", at))
        {
            std::string_view const event{text_.data() + at, end - at};
            at = end + 2;
            if (event.find("[DONE]") != std::string_view::npos ||
                event.find("\"done\":true") != std::string_view::npos)
            {
                ++measures_.whole;
                return false;
            }
            if (event.find(event_mark) != std::string_view::npos)
            {
                on_token(now);
            }
        }
        text_.erase(0, at);
        return true;
    }

    void on_token(bench_clock::time_point now)
    {
        bool const first = last_ == bench_clock::time_point{};
        std::chrono::duration<double, std::milli> const wait = now - (first ? sent_ : last_);
        (first ? measures_.first_tokens : measures_.gaps).push_back(wait.count());
        last_ = now;
    }

    tcp::socket socket_;
    std::string request_;
    round_measures& measures_;
    std::string text_;
    std::array<char, 8192> bytes_{};
    bench_clock::time_point sent_;
    bench_clock::time_point last_;
};

std::string http_post(std::string_view target, std::string_view headers, std::string_view body)
{
    std::string request = "POST " + std::string{target} + " HTTP/1.1\r\nHost: bench\r\n";
    request += headers;
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return request + std::string{body};
}

std::string direct_request(std::size_t index, std::size_t tokens)
{
    return http_post("/v1/streams", "",
                     R"({"generation":"bench-)" + std::to_string(getpid()) + "-" +
                         std::to_string(index) +
                         R"(","model":"m","kind":"question","prompt":"[tokens=)" +
                         std::to_string(tokens) + R"(]","max_tokens":0,"priority":0})");
}

std::string entry_request(std::string const& key, std::size_t tokens)
{
    return http_post("/v1/completions", "Authorization: Bearer " + key + "\r\n",
                     R"({"model":"m","stream":true,"prompt":"[tokens=)" + std::to_string(tokens) +
                         R"(]"})");
}

/// \brief Command line options.
struct options
{
    std::string direct;
    std::string entry;
    std::string key;
    int pid = 0;
    std::size_t streams = 100;
    std::size_t tokens = 100;
};

// Parses a comma-separated list of endpoints.
std::vector<tcp::endpoint> endpoints_of(std::string const& list)
{
    std::vector<tcp::endpoint> endpoints;
    std::istringstream parts{list};
    for (std::string text; std::getline(parts, text, ',');)
    {
        auto const where = plumdale::protocol::parse_endpoint(text);
        if (!where)
        {
            throw std::invalid_argument{text + " is not an endpoint"};
        }
        endpoints.emplace_back(net::ip::address_v4{where->address}, where->port);
    }
    return endpoints;
}

round_measures run_round(options const& chosen, bool through_entry)
{
    net::io_context context{1};
    round_measures measures;
    auto const endpoints = endpoints_of(through_entry ? chosen.entry : chosen.direct);
    auto const begin = bench_clock::now();
    for (std::size_t i = 0; i < chosen.streams; ++i)
    {
        std::string request = through_entry ? entry_request(chosen.key, chosen.tokens)
                                            : direct_request(i, chosen.tokens);
        std::make_shared<stream>(context, std::move(request), measures)
            ->start(endpoints[i % endpoints.size()]);
    }
    context.run();
    measures.seconds = std::chrono::duration<double>(bench_clock::now() - begin).count();
    return measures;
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const at = values.begin() +
                    static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void print_row(char const* path, options const& chosen, round_measures& measures)
{
    std::size_t const tokens = measures.gaps.size() + measures.first_tokens.size();
    std::printf("%-7s %7zu %7zu %10.0f %9.2f %9.2f %9.2f %9.2f %9.2f\n", path, chosen.streams,
                measures.whole, static_cast<double>(tokens) / measures.seconds,
                quantile(measures.first_tokens, 0.5), quantile(measures.first_tokens, 0.95),
                quantile(measures.gaps, 0.5), quantile(measures.gaps, 0.95),
                quantile(measures.gaps, 0.99));
}

options read_options(int argc, char** argv)
{
    TCLAP::CmdLine line{"Measures the cost of an entry VM in the path.", ' ', "1"};
    using text = TCLAP::ValueArg<std::string>;
    using number = TCLAP::ValueArg<int>;
    text const direct{"", "direct", "Engines, with commas between.", true, "", "IP:PORT,…", line};
    text const entry{"", "entry", "Entry VM.", true, "", "IP:PORT", line};
    text const key{"", "key", "API key.", true, "", "KEY", line};
    number const pid{"", "pid", "Process of the entry VM.", true, 0, "PID", line};
    number const streams{"", "streams", "Streams at once.", false, 100, "N", line};
    number const tokens{"", "tokens", "Tokens a stream.", false, 100, "N", line};
    line.parse(argc, argv);
    return {direct.getValue(),
            entry.getValue(),
            key.getValue(),
            pid.getValue(),
            static_cast<std::size_t>(streams.getValue()),
            static_cast<std::size_t>(tokens.getValue())};
}

} // namespace

int main(int argc, char** argv)
{
    options const chosen = read_options(argc, argv);
    std::printf("%-7s %7s %7s %10s %9s %9s %9s %9s %9s\n", "path", "streams", "whole", "tokens/s",
                "first p50", "p95 ms", "gap p50", "p95 ms", "p99 ms");
    round_measures direct = run_round(chosen, false);
    print_row("direct", chosen, direct);
    process_cost const before = cost_of(chosen.pid);
    round_measures entry = run_round(chosen, true);
    process_cost const after = cost_of(chosen.pid);
    print_row("entry", chosen, entry);
    double const cpu = after.cpu_seconds - before.cpu_seconds;
    double const tokens = static_cast<double>(entry.gaps.size() + entry.first_tokens.size());
    std::printf("entry VM: %.2f of a core, %.0f tokens/s for each core used, %.1f KB a stream\n",
                cpu / entry.seconds, cpu > 0 ? tokens / cpu : 0.0,
                (after.resident_bytes - before.resident_bytes) / 1024.0 /
                    static_cast<double>(chosen.streams));
    std::printf("added: first token p50 %.2f ms, gap p50 %.2f ms, gap p99 %.2f ms\n",
                quantile(entry.first_tokens, 0.5) - quantile(direct.first_tokens, 0.5),
                quantile(entry.gaps, 0.5) - quantile(direct.gaps, 0.5),
                quantile(entry.gaps, 0.99) - quantile(direct.gaps, 0.99));
    return entry.whole == chosen.streams && direct.whole == chosen.streams ? 0 : 1;
}
