#pragma once

#include <plumdale/protocol/message_framing.hpp>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief A strict model of where an HTTP/1.1 message ends, written apart from the reader.

namespace plumdale::test
{

/// \brief Reads a whole text at once, line by line, with plain string operations.
class framing_model
{
public:
    enum class outcome
    {
        refused,
        unfinished,
        open, ///< Ends with the connection.
        whole
    };

    framing_model(std::string_view text, protocol::message_role role, std::uint64_t body_limit)
        : text_{text}, role_{role}, body_limit_{body_limit}
    {
        try
        {
            read_head();
            result_ = read_body();
        }
        catch (outcome ended)
        {
            result_ = ended;
        }
    }

    [[nodiscard]] outcome result() const
    {
        return result_;
    }
    [[nodiscard]] std::size_t length() const
    {
        return at_;
    }
    [[nodiscard]] std::string const& body() const
    {
        return body_;
    }
    [[nodiscard]] std::size_t field_count() const
    {
        return field_count_;
    }

private:
    static void require(bool sound)
    {
        if (!sound)
        {
            throw outcome::refused;
        }
    }

    static std::string lower(std::string text)
    {
        for (char& c : text)
        {
            c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
        }
        return text;
    }

    static bool is_name(std::string const& text)
    {
        return !text.empty() &&
               text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789!#$%&'*+-.^_`|~") == std::string::npos;
    }

    static std::string stripped(std::string const& text)
    {
        std::size_t const first = text.find_first_not_of(" \t");
        return first == std::string::npos
                   ? ""
                   : text.substr(first, text.find_last_not_of(" \t") + 1 - first);
    }

    // A list whose elements are names or empty.
    static void require_names(std::string list)
    {
        while (!list.empty())
        {
            std::size_t const comma = std::min(list.find(','), list.size());
            std::string const name = stripped(list.substr(0, comma));
            require(name.empty() || is_name(name));
            list.erase(0, comma + 1);
        }
    }

    std::string line()
    {
        std::size_t const end = text_.find('\n', at_);
        if (end == std::string_view::npos)
        {
            throw outcome::unfinished;
        }
        std::string found{text_.substr(at_, end - at_)};
        at_ = end + 1;
        require(!found.empty() && found.back() == '\r');
        found.pop_back();
        for (char const c : found)
        {
            require(c == '\t' || (static_cast<unsigned char>(c) >= 32 && c != 127));
        }
        return found;
    }

    void read_head()
    {
        read_start_line(line());
        for (std::string field = line(); !field.empty(); field = line())
        {
            auto const [name, value] = split(field);
            ++field_count_;
            if (name == "content-length")
            {
                lengths_.push_back(value);
            }
            if (name == "connection" || name == "proxy-connection")
            {
                require_names(value);
            }
            if (name == "transfer-encoding")
            {
                codings_.push_back(lower(value));
            }
            require(lengths_.size() + codings_.size() <= 1);
            require(lengths_.empty() || is_length(lengths_[0]));
            require(codings_.empty() || (codings_[0] == "chunked" && version_ == "HTTP/1.1"));
        }
    }

    static std::pair<std::string, std::string> split(std::string const& field)
    {
        std::size_t const colon = field.find(':');
        require(colon != std::string::npos && is_name(field.substr(0, colon)));
        return {lower(field.substr(0, colon)), stripped(field.substr(colon + 1))};
    }

    static bool is_length(std::string const& value)
    {
        bool const digits =
            !value.empty() && value.find_first_not_of("0123456789") == std::string::npos;
        std::size_t const first = std::min(value.find_first_not_of('0'), value.size());
        std::string const significant = value.substr(first);
        std::string const most = "18446744073709551615";
        return digits && (significant.size() < most.size() ||
                          (significant.size() == most.size() && significant <= most));
    }

    void read_start_line(std::string const& start)
    {
        if (role_ == protocol::message_role::request)
        {
            std::size_t const first = start.find(' ');
            require(first != std::string::npos && is_name(start.substr(0, first)));
            std::size_t const second = start.find(' ', first + 1);
            require(second != std::string::npos && second > first + 1);
            require(start.find('\t') == std::string::npos);
            version_ = start.substr(second + 1);
        }
        else
        {
            require(start.size() >= 13 && start[8] == ' ' && start[12] == ' ');
            version_ = start.substr(0, 8);
            std::string const status = start.substr(9, 3);
            require(status.find_first_not_of("0123456789") == std::string::npos);
            status_ = std::stoi(status);
            require(status_ >= 100 && status_ <= 599 && status_ != 101);
        }
        require(version_ == "HTTP/1.1" || version_ == "HTTP/1.0");
    }

    outcome read_body()
    {
        bool const is_request = role_ == protocol::message_role::request;
        if (role_ == protocol::message_role::answer_without_body ||
            (!is_request && (status_ < 200 || status_ == 204 || status_ == 304)))
        {
            return outcome::whole;
        }
        if (!codings_.empty())
        {
            return read_chunks();
        }
        if (!lengths_.empty())
        {
            return read_counted();
        }
        if (is_request)
        {
            return outcome::whole;
        }
        body_ = text_.substr(at_);
        at_ = text_.size();
        require(body_.size() <= body_limit_);
        return outcome::open;
    }

    outcome read_counted()
    {
        std::uint64_t const size = std::stoull(lengths_[0]);
        require(size <= body_limit_);
        if (text_.size() - at_ < size)
        {
            return outcome::unfinished;
        }
        body_ = text_.substr(at_, size);
        at_ += size;
        return outcome::whole;
    }

    outcome read_chunks()
    {
        for (;;)
        {
            std::string const head = line();
            std::size_t const digits =
                std::min(head.find_first_not_of("0123456789abcdefABCDEF"), head.size());
            require(digits >= 1 && digits <= 16);
            require(is_extension_list(head.substr(digits)));
            std::uint64_t const size = std::stoull(head.substr(0, digits), nullptr, 16);
            require(size <= body_limit_ - body_.size());
            if (size == 0)
            {
                return read_trailers();
            }
            if (text_.size() - at_ < size)
            {
                return outcome::unfinished;
            }
            body_ += text_.substr(at_, size);
            at_ += size;
            require(line().empty());
        }
    }

    outcome read_trailers()
    {
        for (std::string field = line(); !field.empty(); field = line())
        {
            std::string const name = split(field).first;
            // Those that the generator can come upon.
            for (char const* const forbidden :
                 {"content-length", "transfer-encoding", "host", "connection", "trailer", "te"})
            {
                require(name != forbidden);
            }
        }
        return outcome::whole;
    }

    // An automaton over characters: each state says what may come next.
    static bool is_extension_list(std::string const& text)
    {
        enum
        {
            none, // Nothing open: the end, white space or `;`.
            gap,  // White space before `;`.
            before_name,
            name,
            after_name,
            before_value,
            value,
            quoted,
            escaped
        } state = none;
        for (char const c : text)
        {
            bool const blank = c == ' ' || c == '\t';
            bool const token = is_name(std::string(1, c));
            switch (state)
            {
            case none:
            case gap:
                if (!blank && c != ';')
                {
                    return false;
                }
                state = blank ? gap : before_name;
                break;
            case before_name:
                if (!blank && !token)
                {
                    return false;
                }
                state = blank ? before_name : name;
                break;
            case name:
            case after_name:
                if (c == '=' || c == ';')
                {
                    state = c == '=' ? before_value : before_name;
                }
                else if (blank)
                {
                    state = after_name;
                }
                else if (!token || state == after_name)
                {
                    return false;
                }
                break;
            case before_value:
                if (!blank && !token && c != '"')
                {
                    return false;
                }
                state = blank ? before_value : token ? value : quoted;
                break;
            case value:
                if (!token)
                {
                    if (!blank && c != ';')
                    {
                        return false;
                    }
                    state = blank ? gap : before_name;
                }
                break;
            case quoted:
                state = c == '"' ? none : c == '\\' ? escaped : quoted;
                break;
            case escaped:
                state = quoted;
            }
        }
        return state == none || state == name || state == value;
    }

    std::string_view text_;
    protocol::message_role role_;
    std::uint64_t body_limit_;
    std::size_t at_ = 0;
    std::string version_;
    int status_ = 0;
    std::vector<std::string> lengths_;
    std::vector<std::string> codings_;
    std::size_t field_count_ = 0;
    std::string body_;
    outcome result_ = outcome::unfinished;
};

} // namespace plumdale::test
