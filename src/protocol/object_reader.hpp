#pragma once

#include <plumdale/protocol/endpoint_text.hpp>
#include <plumdale/protocol/settings.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Checked reading of settings, for all kinds of settings files.

namespace plumdale::protocol
{

/// \brief Reads members of one object and records their errors.
class object_reader
{
public:
    object_reader(boost::json::object const& object, std::vector<settings_error>& errors)
        : object_{object}, errors_{errors}
    {
    }

    void text(std::string_view name, std::string& into, std::string_view allowed = "a string")
    {
        if (boost::json::value const* const value = find(name))
        {
            if (!value->is_string() || value->as_string().empty())
            {
                return add_error(name, *value, allowed);
            }
            into = value->as_string();
        }
    }

    void strings(std::string_view name, std::vector<std::string>& into)
    {
        boost::json::value const* const value = find(name);
        if (value == nullptr)
        {
            return;
        }
        bool const is_list = value->is_array();
        if (!is_list)
        {
            return add_error(name, "no list", "a list of strings");
        }
        for (boost::json::value const& each : value->as_array())
        {
            if (!each.is_string())
            {
                return add_error(name, "no string", "a list of strings");
            }
            into.emplace_back(std::string_view{each.as_string()});
        }
    }

    void choice(std::string_view name, std::string& into, std::span<std::string_view const> choices)
    {
        text(name, into);
        if (std::find(choices.begin(), choices.end(), into) == choices.end())
        {
            std::string allowed = "one of";
            for (std::string_view const each : choices)
            {
                allowed += ' ';
                allowed += each;
            }
            add_error(name, boost::json::string_view{into}, allowed);
        }
    }

    void endpoint(std::string_view name, state::endpoint& into)
    {
        if (boost::json::value const* const value = find(name))
        {
            if (auto const parsed = endpoint_of(*value))
            {
                into = *parsed;
                return;
            }
            add_error(name, *value, "ip:port");
        }
    }

    void endpoints(std::string_view name, std::vector<state::endpoint>& into)
    {
        boost::json::value const* const value = find(name);
        if (value == nullptr)
        {
            return;
        }
        if (!value->is_array())
        {
            return add_error(name, *value, "a list of ip:port");
        }
        for (boost::json::value const& each : value->as_array())
        {
            auto const parsed = endpoint_of(each);
            if (!parsed)
            {
                return add_error(name, each, "ip:port");
            }
            into.push_back(*parsed);
        }
    }

    template <class Number>
    void number(std::string_view name, Number& into, std::uint64_t minimum, std::uint64_t maximum)
    {
        if (auto const value = checked_number(name, minimum, maximum))
        {
            into = static_cast<Number>(*value);
        }
    }

    void milliseconds(std::string_view name, state::duration& into, std::uint64_t minimum,
                      std::uint64_t maximum)
    {
        if (auto const value = checked_number(name, minimum, maximum))
        {
            into = std::chrono::milliseconds{*value};
        }
    }

    void real(std::string_view name, double& into, double minimum, double maximum)
    {
        boost::json::value const* const value = find(name);
        if (value == nullptr)
        {
            return;
        }
        double const number = value->is_number() ? value->to_number<double>() : minimum - 1.0;
        if (number < minimum || number > maximum)
        {
            return add_error(name, *value,
                             "a number of " + std::to_string(minimum) + " to " +
                                 std::to_string(maximum));
        }
        into = number;
    }

    void seconds(std::string_view name, state::duration& into, double minimum, double maximum)
    {
        double number = std::chrono::duration<double>(into).count();
        real(name, number, minimum, maximum);
        into = std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{number});
    }

    void require(std::string_view name)
    {
        if (!object_.contains({name.data(), name.size()}))
        {
            errors_.push_back({"/" + std::string{name}, "nothing", "this key is required"});
        }
    }

    void add_error(std::string_view name, boost::json::value const& found, std::string_view allowed)
    {
        errors_.push_back(
            {"/" + std::string{name}, boost::json::serialize(found), std::string{allowed}});
    }

    /// \brief Records an error for each key that was not read, with the nearest known key.
    void reject_unknown_keys()
    {
        for (auto const& member : object_)
        {
            std::string_view const key{member.key().data(), member.key().size()};
            if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end())
            {
                errors_.push_back({"/" + std::string{key}, "an unknown key",
                                   "the nearest known key is " + std::string{nearest(key)}});
            }
        }
    }

private:
    boost::json::value const* find(std::string_view name)
    {
        known_keys_.push_back(name);
        return object_.if_contains({name.data(), name.size()});
    }

    static std::optional<state::endpoint> endpoint_of(boost::json::value const& value)
    {
        return value.is_string() ? parse_endpoint(std::string_view{value.as_string()})
                                 : std::nullopt;
    }

    std::optional<std::uint64_t> checked_number(std::string_view name, std::uint64_t minimum,
                                                std::uint64_t maximum)
    {
        boost::json::value const* const value = find(name);
        if (value == nullptr)
        {
            return std::nullopt;
        }
        boost::json::error_code error;
        auto const number = value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
        if (!value->is_number() || error || number < minimum || number > maximum)
        {
            add_error(name, *value,
                      "a whole number of " + std::to_string(minimum) + " to " +
                          std::to_string(maximum));
            return std::nullopt;
        }
        return number;
    }

    // Levenshtein distance, one row at a time.
    static std::size_t distance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        for (std::size_t j = 0; j <= b.size(); ++j)
        {
            row[j] = j;
        }
        for (std::size_t i = 1; i <= a.size(); ++i)
        {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j)
            {
                std::size_t const substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
            }
        }
        return row[b.size()];
    }

    [[nodiscard]] std::string_view nearest(std::string_view key) const
    {
        return *std::min_element(known_keys_.begin(), known_keys_.end(),
                                 [key](std::string_view a, std::string_view b)
                                 { return distance(key, a) < distance(key, b); });
    }

    boost::json::object const& object_;
    std::vector<settings_error>& errors_;
    std::vector<std::string_view> known_keys_;
};

} // namespace plumdale::protocol
