#include <plumdale/transport/log.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <array>
#include <iostream>
#include <string>

namespace plumdale::transport
{
namespace
{

namespace expr = boost::log::expressions;

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

using time_attribute = boost::posix_time::ptime;

template <class T>
T value_of(boost::log::record_view const& record, char const* name)
{
    auto const value = record[name].extract<T>();
    return value ? value.get() : T{};
}

std::string_view level_of(boost::log::record_view const& record)
{
    return level_names[static_cast<std::size_t>(value_of<int>(record, "Severity"))];
}

std::string time_of(boost::log::record_view const& record)
{
    return boost::posix_time::to_iso_extended_string(value_of<time_attribute>(record, "TimeStamp"));
}

void write_text(boost::log::record_view const& record, boost::log::formatting_ostream& out)
{
    out << time_of(record) << ' ' << level_of(record) << ' '
        << value_of<std::string>(record, "Part") << ": "
        << value_of<std::string>(record, "Message");
}

void write_json(boost::log::record_view const& record, boost::log::formatting_ostream& out)
{
    boost::json::object line;
    line["time"] = time_of(record);
    line["level"] = level_of(record);
    line["part"] = value_of<std::string>(record, "Part");
    line["message"] = value_of<std::string>(record, "Message");
    out << boost::json::serialize(line);
}

} // namespace

void initialize_log(log_level threshold, log_format format)
{
    boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    auto const sink =
        boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true);
    sink->set_formatter(format == log_format::json ? &write_json : &write_text);
    int const min_severity = static_cast<int>(threshold);
    boost::log::core::get()->set_filter(expr::attr<int>("Severity") >= min_severity);
}

void log(log_level level, std::string_view part, std::string_view message)
{
    thread_local boost::log::sources::severity_logger<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level))
        << boost::log::add_value("Part", std::string{part}) << message;
}

} // namespace plumdale::transport
