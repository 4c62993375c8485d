#include <plumdale/protocol/json_parts.hpp>
#include <plumdale/protocol/json_reader.hpp>

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <string>

namespace plumdale::protocol
{
namespace
{

/// \brief Steps through JSON text without recursion, whatever its depth.
class text_cursor
{
public:
    explicit text_cursor(std::string_view text) noexcept : text_{text} {}

    /// \brief Skips white space, then `expected`; returns whether it was there.
    bool skip(char expected) noexcept
    {
        skip_space();
        bool const found = at_ < text_.size() && text_[at_] == expected;
        at_ += found ? 1 : 0;
        return found;
    }

    /// \brief Skips a string and returns what is between its quotes; empty if there is none.
    std::string_view skip_name() noexcept
    {
        skip_space();
        if (at_ == text_.size() || text_[at_] != '"')
        {
            return {};
        }
        std::size_t const begin = at_ + 1;
        skip_string();
        return text_.substr(begin, at_ - begin - 1);
    }

    /// \brief Skips a value and returns its text; empty if there is none.
    std::string_view skip_value() noexcept
    {
        skip_space();
        std::size_t const begin = at_;
        std::size_t depth = 0;
        while (at_ < text_.size())
        {
            char const c = text_[at_];
            bool const is_closing = c == ']' || c == '}';
            if (depth == 0 && (is_closing || c == ','))
            {
                break;
            }
            depth += c == '[' || c == '{' ? 1 : 0;
            depth -= is_closing ? 1 : 0;
            if (c == '"')
            {
                skip_string();
            }
            else
            {
                ++at_;
            }
        }
        std::string_view const value = text_.substr(begin, at_ - begin);
        return depth == 0 ? value.substr(0, value.find_last_not_of(space) + 1) : std::string_view{};
    }

    [[nodiscard]] bool is_at_end() noexcept
    {
        skip_space();
        return at_ == text_.size();
    }

private:
    static constexpr std::string_view space = " \t\r\n";

    void skip_space() noexcept
    {
        at_ = std::min(text_.find_first_not_of(space, at_), text_.size());
    }

    void skip_string() noexcept
    {
        for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_)
        {
            at_ += text_[at_] == '\\' ? 1 : 0;
        }
        at_ = std::min(at_ + 1, text_.size());
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

state::failure unmatched()
{
    return {state::error_kind::invalid_request, "JSON: brackets, quotes or commas don't match"};
}

} // namespace

state::result<std::vector<std::string_view>> split_elements(std::string_view list)
{
    text_cursor cursor{list};
    std::vector<std::string_view> elements;
    if (!cursor.skip('['))
    {
        return unmatched();
    }
    if (cursor.skip(']'))
    {
        return elements;
    }
    do
    {
        elements.push_back(cursor.skip_value());
        if (elements.back().empty())
        {
            return unmatched();
        }
    } while (cursor.skip(','));
    if (!cursor.skip(']') || !cursor.is_at_end())
    {
        return unmatched();
    }
    return elements;
}

state::result<std::vector<member_text>> split_members(std::string_view object)
{
    text_cursor cursor{object};
    std::vector<member_text> members;
    if (!cursor.skip('{'))
    {
        return unmatched();
    }
    if (cursor.skip('}'))
    {
        return members;
    }
    do
    {
        std::string_view const name = cursor.skip_name();
        bool const has_value = cursor.skip(':');
        members.push_back({name, cursor.skip_value()});
        if (!has_value || members.back().value.empty())
        {
            return unmatched();
        }
    } while (cursor.skip(','));
    if (!cursor.skip('}') || !cursor.is_at_end())
    {
        return unmatched();
    }
    return members;
}

state::result<boost::json::object> parse_readable_members(std::string_view object)
{
    BOOST_OUTCOME_TRY(auto const members, split_members(object));
    boost::json::object readable;
    for (member_text const& each : members)
    {
        // The member by itself, as an object, so that names and values are checked as everywhere.
        std::string const text =
            "{\"" + std::string{each.name} + "\":" + std::string{each.value} + "}";
        if (auto parsed = parse_object(text); parsed && parsed.value().size() == 1)
        {
            readable.insert(*parsed.value().begin());
        }
    }
    return readable;
}

} // namespace plumdale::protocol
