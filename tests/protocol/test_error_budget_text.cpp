#include <plumdale/protocol/error_budget_text.hpp>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace plumdale;
using namespace std::chrono_literals;

namespace
{

constexpr coordination::error_budget_key key{state::model_id{1}, state::customer_id{2}};
constexpr state::time_point now{100h};

protocol::error_budget_names names()
{
    return {[](state::model_id) { return std::string{"lists"}; },
            [](state::customer_id)
            {
                return std::string{"a \"large\" one"};
            }};
}

coordination::error_budget_report sample(coordination::error_budget_settings const& settings)
{
    coordination::error_budget_tracker tracker{settings};
    tracker.record_outcome(key, coordination::answer_outcome::refused, now);
    tracker.record_outcome(key, coordination::answer_outcome::whole, now);
    return tracker.report(now);
}

} // namespace

TEST_CASE("the error budget report's JSON contains each objective and window",
          "[error_budget_text]")
{
    coordination::error_budget_settings const settings;
    auto const shown = boost::json::parse(error_budget_json(sample(settings), settings, names()));
    auto const& row = shown.at("rows").at(0);
    CHECK(row.at("service").as_string() == "lists");
    auto const& admission = row.at("objectives").at("admission");
    REQUIRE(admission.as_array().size() == coordination::error_budget_window_count);
    CHECK(admission.at(0).at("bad").to_number<int>() == 1);
    CHECK(admission.at(0).at("burn").to_number<double>() == Approx(50.0));
    CHECK(admission.at(0).at("slots").as_array().size() == coordination::slots_per_window);
    CHECK(shown.at("windows_s").at(3).to_number<int>() == 21'600);
}

TEST_CASE("label values of metrics are escaped", "[error_budget_text]")
{
    coordination::error_budget_settings const settings;
    std::string const text = error_budget_metrics(sample(settings), settings, names());
    CHECK(text.find(R"(customer="a \"large\" one",objective="admission",window_s="60"} 50)") !=
          std::string::npos);
}
