#include "decision_log.hpp"

#include "boot_clock.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <chrono>
#include <climits>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace plumdale::transport
{
namespace
{

void append_text(std::string& out, std::string_view text)
{
    out += boost::json::serialize(boost::json::string_view{text.data(), text.size()});
}

std::int64_t wall_milliseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

decision_log::decision_log(int descriptor, std::string node)
    : descriptor_{descriptor}, node_{std::move(node)}
{
    int const flags = ::fcntl(descriptor_, F_GETFL, 0);
    if (flags >= 0)
    {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

bool decision_log::within_rate(state::time_point now) noexcept
{
    std::int64_t const second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_)
    {
        second_ = second;
        lines_ = 0;
    }
    return ++lines_ <= lines_per_second;
}

void decision_log::write(std::string_view part, std::string_view decision, std::string_view id,
                         std::initializer_list<log_field> fields)
{
    if (buffer_.size() >= buffer_limit || !within_rate(boot_now()))
    {
        ++dropped_;
        return;
    }
    buffer_ += "{\"time_ms\":" + std::to_string(wall_milliseconds()) + ",\"node\":";
    append_text(buffer_, node_);
    buffer_ += ",\"part\":";
    append_text(buffer_, part);
    buffer_ += ",\"decision\":";
    append_text(buffer_, decision);
    if (!id.empty())
    {
        buffer_ += ",\"id\":";
        append_text(buffer_, id);
    }
    for (log_field const& field : fields)
    {
        buffer_ += ",\"";
        buffer_ += field.name;
        buffer_ += "\":";
        field.is_number ? buffer_.append(field.value)
                        : (append_text(buffer_, field.value), buffer_);
    }
    buffer_ += "}\n";
}

// Whole lines of at most PIPE_BUF bytes are written at once: a process that loses power between two
// parts of a line leaves half of it, to which the next process's first line is appended.
std::size_t decision_log::next_write_size() const noexcept
{
    if (buffer_.size() <= PIPE_BUF)
    {
        return buffer_.size();
    }
    std::size_t const end = buffer_.rfind('\n', PIPE_BUF - 1);
    return end == std::string::npos ? buffer_.find('\n') + 1 : end + 1;
}

void decision_log::flush()
{
    while (!buffer_.empty())
    {
        ssize_t const written = ::write(descriptor_, buffer_.data(), next_write_size());
        if (written <= 0)
        {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
    if (dropped_ != reported_dropped_)
    {
        std::uint64_t const lost = dropped_ - std::exchange(reported_dropped_, dropped_);
        write("log", "lines dropped", {}, {{"lines", static_cast<std::int64_t>(lost)}});
    }
}

} // namespace plumdale::transport
