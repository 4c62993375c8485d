#include <plumdale/coordination/fleet_view.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace plumdale;
using namespace plumdale::coordination;
using namespace std::chrono_literals;

namespace
{

fleet_news news_of(std::uint64_t sender, std::uint64_t sequence, std::uint32_t platform_age_ms)
{
    fleet_news news;
    news.sender = state::node_id{sender};
    news.uptime = state::incarnation{100};
    news.sequence = sequence;
    news.platform_age_ms = platform_age_ms;
    news.whole = true;
    return news;
}

state::endpoint streams_of(std::uint64_t node)
{
    return {static_cast<std::uint32_t>(node), 7200};
}

/// \brief Views of some entry VMs that all hear each other.
class small_fleet
{
public:
    explicit small_fleet(std::size_t size)
    {
        for (std::uint64_t node = 1; node <= size; ++node)
        {
            views_.emplace_back(state::node_id{node});
        }
    }

    void tell(std::uint64_t sender, std::uint32_t platform_age_ms, state::time_point now)
    {
        ++sequence_;
        for (fleet_view& view : views_)
        {
            view.hear(news_of(sender, sequence_, platform_age_ms), streams_of(sender), 0, now);
        }
    }

    [[nodiscard]] std::vector<std::uint64_t> readers(state::time_point now) const
    {
        std::vector<std::uint64_t> nodes;
        for (std::uint64_t node = 1; node <= views_.size(); ++node)
        {
            if (views_[node - 1].is_reader(now))
            {
                nodes.push_back(node);
            }
        }
        return nodes;
    }

private:
    std::vector<fleet_view> views_;
    std::uint64_t sequence_ = 0;
};

void tell_all(small_fleet& fleet, std::size_t size, state::time_point now)
{
    for (std::uint64_t node = 1; node <= size; ++node)
    {
        fleet.tell(node, 50, now);
    }
}

} // namespace

TEST_CASE("of a fleet that can read the store, two do", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    CHECK(fleet.readers(now).size() == 9);
    tell_all(fleet, 9, now);
    CHECK(fleet.readers(now).size() == fleet_view::readers);
}

// A key is revoked while the store turns both readers away. They know at once that they can't read;
// if the others took over only when the last read has become old, callers with the revoked key
// would be served for longer than the operators were promised.
TEST_CASE("readers that lost the store are replaced as soon as they say so", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    tell_all(fleet, 9, now);
    std::vector<std::uint64_t> const before = fleet.readers(now);
    for (std::uint64_t const node : before)
    {
        fleet.tell(node, UINT32_MAX, now + 10ms);
    }
    std::vector<std::uint64_t> const after = fleet.readers(now + 10ms);
    // Those before go on trying.
    CHECK(after.size() == 2 * fleet_view::readers);
}

TEST_CASE("readers that fall silent are replaced before a configuration is due", "[fleet_view]")
{
    small_fleet fleet{9};
    state::time_point const now{10s};
    tell_all(fleet, 9, now);
    std::vector<std::uint64_t> const before = fleet.readers(now);
    // The others are heard on; what they read is as old as the readers' last news.
    state::time_point const later = now + 1'400ms;
    for (std::uint64_t node = 1; node <= 9; ++node)
    {
        bool const is_silent = std::find(before.begin(), before.end(), node) != before.end();
        if (!is_silent)
        {
            fleet.tell(node, UINT32_MAX, later);
        }
    }
    CHECK(fleet.readers(later).size() > fleet_view::readers);
}

TEST_CASE("a newer configuration is asked of different peers", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    for (std::uint64_t node = 2; node <= 40; ++node)
    {
        fleet_news news = news_of(node, 1, 50);
        news.configuration = node <= 20 ? 7 : 6;
        view.hear(news, streams_of(node), 0, now);
    }
    std::vector<state::endpoint> asked;
    for (std::uint64_t draw = 0; draw < 50; ++draw)
    {
        auto const peer = view.newer_configuration(6, draw, now);
        REQUIRE(peer);
        CHECK(peer->address <= 20);
        if (std::find(asked.begin(), asked.end(), *peer) == asked.end())
        {
            asked.push_back(*peer);
        }
    }
    CHECK(asked.size() > 8);
    CHECK_FALSE(view.newer_configuration(7, 1, now));
}

TEST_CASE("a directory that differs is fetched once news had time to arrive", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    fleet_news news = news_of(2, 1, 50);
    news.directory = 99;
    view.hear(news, streams_of(2), 1, now);
    CHECK_FALSE(view.better_directory(1, now + 100ms));
    news.sequence = 2;
    view.hear(news, streams_of(2), 1, now + 700ms);
    CHECK(view.better_directory(1, now + 700ms));
    view.directory_changed(99, now + 700ms);
    CHECK_FALSE(view.better_directory(1, now + 700ms));
}

TEST_CASE("an uptime that looks older is believed once the other is silent", "[fleet_view]")
{
    fleet_view view{state::node_id{1}};
    state::time_point const now{10s};
    CHECK(view.hear(news_of(2, 5, 50), streams_of(2), 0, now));
    fleet_news restarted = news_of(2, 1, 50);
    restarted.uptime = state::incarnation{90};
    CHECK_FALSE(view.hear(restarted, streams_of(2), 0, now + 100ms));
    CHECK(view.hear(restarted, streams_of(2), 0, now + 1s));
}
