#include <plumdale/protocol/json_reader.hpp>

#include <boost/json/parse.hpp>

#include <cmath>
#include <cstdint>

namespace plumdale::protocol
{
namespace
{

// Deeper bodies are refused: a parser that recurses on a caller's brackets would exhaust the stack.
constexpr std::size_t depth_limit = 16;

} // namespace

state::result<boost::json::object> parse_object(std::string_view text)
{
    boost::json::parse_options options;
    options.max_depth = depth_limit;
    boost::json::error_code error;
    boost::json::value value =
        boost::json::parse({text.data(), text.size()}, error, boost::json::storage_ptr{}, options);
    if (error)
    {
        return state::failure{state::error_kind::invalid_request, "JSON: " + error.message()};
    }
    if (!value.is_object())
    {
        return state::failure{state::error_kind::invalid_request, "JSON: an object is wanted"};
    }
    return std::move(value.as_object());
}

boost::json::string const* find_string(boost::json::object const& object, std::string_view name)
{
    boost::json::value const* const member = object.if_contains({name.data(), name.size()});
    return member == nullptr ? nullptr : member->if_string();
}

std::uint64_t number_or(boost::json::object const& object, std::string_view name,
                        std::uint64_t otherwise, std::uint64_t limit)
{
    boost::json::value const* const member = object.if_contains({name.data(), name.size()});
    if (member == nullptr || !member->is_number())
    {
        return otherwise;
    }
    boost::json::error_code error;
    auto const value = member->to_number<std::uint64_t>(error);
    return error || value > limit ? otherwise : value;
}

double real_or(boost::json::object const& object, std::string_view name, double otherwise)
{
    boost::json::value const* const member = object.if_contains({name.data(), name.size()});
    double const value =
        member == nullptr || !member->is_number() ? otherwise : member->to_number<double>();
    // A number with a large exponent is read as infinite.
    return std::isfinite(value) ? value : otherwise;
}

bool flag_or(boost::json::object const& object, std::string_view name, bool otherwise)
{
    boost::json::value const* const member = object.if_contains({name.data(), name.size()});
    return member == nullptr || !member->is_bool() ? otherwise : member->as_bool();
}

} // namespace plumdale::protocol
