#include "programs/plumctl/http_client.hpp"

#include <plumdale/protocol/answer_status.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

using namespace plumdale;
using namespace plumdale::plumctl;

namespace
{

using boost::asio::ip::tcp;

constexpr auto idle_timeout = std::chrono::milliseconds{2'000};
std::string const ok_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// \brief Something at an entry VM's address that answers one request.
class scripted_entry
{
public:
    /// \brief Sends `bytes`, and then `piece` until the client closes or `most` bytes were sent.
    explicit scripted_entry(std::string bytes, std::string piece = {}, std::size_t most = 0)
        : acceptor_{context_, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}},
          thread_{[this, bytes = std::move(bytes), piece = std::move(piece), most]
                  {
                      serve(bytes, piece, most);
                  }}
    {
    }
    scripted_entry(scripted_entry const&) = delete;
    scripted_entry& operator=(scripted_entry const&) = delete;
    ~scripted_entry()
    {
        join();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// \brief Returns how many bytes were sent once the client has closed.
    [[nodiscard]] std::size_t sent()
    {
        join();
        return sent_;
    }

private:
    void join()
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    void serve(std::string const& bytes, std::string const& piece, std::size_t most)
    {
        tcp::socket socket{context_};
        acceptor_.accept(socket);
        std::string request;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        sent_ = boost::asio::write(socket, boost::asio::buffer(bytes), error);
        while (!error && sent_ < most)
        {
            sent_ += boost::asio::write(socket, boost::asio::buffer(piece), error);
        }
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::size_t sent_ = 0;
    std::thread thread_;
};

state::result<http_answer> ask(scripted_entry const& entry)
{
    return http_client{entry.address(), idle_timeout}.call({"GET", "/admin/status", {}, {}});
}

} // namespace

// Guards against a status of no class that an operator is shown as an answer.
TEST_CASE("the tool takes no answer whose status is none", "[plumctl][statuses]")
{
    for (std::string const status : {"000", "099", "101", "600", "999", "20", "2000"})
    {
        INFO(status);
        scripted_entry entry{"HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nok"};
        CHECK_FALSE(ask(entry));
    }
}

// Guards against an interim answer that is taken for the answer.
TEST_CASE("the tool reads the answer behind interim ones, up to a bound", "[plumctl][statuses]")
{
    std::string const one = "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n";
    std::string interim;
    for (std::uint32_t i = 0; i < protocol::max_interim_answers; ++i)
    {
        interim += one;
    }
    scripted_entry entry{interim + ok_answer};
    auto const answer = ask(entry);
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body == "ok");
    CHECK(answer.value().header("name").empty());
    scripted_entry endless{interim + one + ok_answer};
    CHECK_FALSE(ask(endless));
}

// Guards against a tool that fills an operator's machine with what is no answer.
TEST_CASE("the tool ends at bytes without end", "[plumctl][endless]")
{
    // Socket buffers, and what is read ahead of the parser.
    constexpr std::size_t most = 48UL * 1024 * 1024;
    std::string const zeros(65'536, '0');
    std::string const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::string const& begin :
         {std::string{"HTTP/1.1 200 "}, std::string{"HTTP/1.1 200 OK\r\nName: "},
          std::string{"HTTP/1.1 103 Early Hints\r\nName: "}, chunks, chunks + "4;",
          chunks + "0\r\nName: ", std::string{"HTTP/1.1 200 OK\r\n\r\n"}})
    {
        INFO(begin);
        scripted_entry entry{begin, zeros, most};
        CHECK_FALSE(ask(entry));
        CHECK(entry.sent() < most);
    }
}
