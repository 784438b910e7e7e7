#include "LibForward/RouteTable.h"
#include "LibForward/TopRecords.h"
#include "LibForward/TrafficConfiguration.h"

#include <gtest/gtest.h>

#include <map>

namespace
{
Forward::traffic_configuration configurationOf(const std::vector<std::pair<std::string, std::string>> &routes)
{
    Forward::traffic_configuration configuration;
    for (const auto &[host, prefix] : routes) {
        Forward::route route;
        route.name = host + prefix;
        route.host = host;
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    Forward::indexRoutes(configuration);
    return configuration;
}

std::string nameOf(const Forward::route *route)
{
    return route == nullptr ? "none" : route->name;
}

std::string record(char lead)
{
    return std::string(1, lead) + std::string(Forward::recordSize - 1, 'x');
}
} // namespace

TEST(Routing, FindsRouteWithTheLongestPrefix)
{
    const auto configuration =
        configurationOf({{"one.example", "/a/"}, {"one.example", "/a/b/"}, {"two.example", "/"}});
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "one.example", "/a/b/c")), "one.example/a/b/");
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "one.example", "/a/x")), "one.example/a/");
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "one.example", "/b/")), "none");
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "two.example", "/a/b/c")), "two.example/");
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "three.example", "/a/")), "none");
}

TEST(Routing, IgnoresCaseAndPortOfTheHost)
{
    const auto configuration = configurationOf({{"one.example", "/a/"}});
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "ONE.example:8080", "/a/1")), "one.example/a/");
    EXPECT_EQ(nameOf(Forward::findRoute(configuration, "one.example", "/A/1")), "none");
}

TEST(Routing, PicksServicesByWeight)
{
    Forward::route route;
    route.services = {{"old", 3.0}, {"new", 1.0}};
    Core::random_engine random(11);
    std::map<std::string, int> drawn;
    constexpr int draws = 10'000;
    for (int index = 0; index < draws; ++index) {
        ++drawn[Forward::pickService(route, random)];
    }
    EXPECT_NEAR(drawn["new"], draws * 0.25, draws * 0.02);
    EXPECT_EQ(drawn["new"] + drawn["old"], draws);
}

TEST(TopRecords, SortsInDescendingOrderAndKeepsDuplicates)
{
    const std::string first = record('b') + record('d');
    const std::string second = record('d') + record('a') + "short";
    const std::vector<std::string_view> partialResults {first, second};
    EXPECT_EQ(Forward::selectTopRecords(partialResults, 3), record('d') + record('d') + record('b'));
    EXPECT_EQ(Forward::selectTopRecords(partialResults, 9), record('d') + record('d') + record('b') + record('a'));
}

TEST(TopRecords, ComparesBytesAsUnsigned)
{
    const std::string high = record('\xff');
    const std::string low = record('\x01');
    const std::vector<std::string_view> partialResults {low, high};
    EXPECT_EQ(Forward::selectTopRecords(partialResults, 1), high);
}
