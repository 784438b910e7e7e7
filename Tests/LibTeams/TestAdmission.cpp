#include "LibCore/RandomEngine.h"
#include "LibTeams/Admission.h"
#include "LibTeams/DivideCapacity.h"
#include "LibTeams/Overload.h"
#include "LibTeams/UsageCodec.h"
#include "LibTeams/UsageExchange.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <numeric>

using Configuration::priority_class;

TEST(Admission, RefusesAlertsLastWithinATeam)
{
    Teams::team_admission team;
    team.factor = 0.3;
    std::array<int, 3> refused {};
    for (int query = 0; query < 3000; ++query) {
        const int kind = query % 10 == 0 ? 0 : 1 + query % 2;
        refused.at(kind) += Teams::admit(team, static_cast<priority_class>(kind), 8.0) ? 1 : 0;
    }
    EXPECT_EQ(refused[0], 0);
    EXPECT_GT(refused[2], refused[1]);
}

TEST(Admission, RevertedAdmissionRestoresCredit)
{
    Teams::team_admission unchanged;
    Teams::team_admission reverted;
    unchanged.factor = reverted.factor = 0.5;
    static_cast<void>(Teams::admit(unchanged, priority_class::Lookup, 1.0));
    static_cast<void>(Teams::admit(reverted, priority_class::Lookup, 1.0));
    int admitted = 0;
    int admittedAfterRevert = 0;
    for (int query = 0; query < 1000; ++query) {
        admitted += Teams::admit(unchanged, priority_class::Lookup, 8.0) ? 0 : 1;
        if (!Teams::admit(reverted, priority_class::Lookup, 8.0)) {
            Teams::revertAdmission(reverted, 8.0);
            ++admittedAfterRevert;
        }
    }
    EXPECT_NEAR(admitted, 500, 20);
    EXPECT_GT(admittedAfterRevert, 900) << "the credit must be restored";
}

TEST(Admission, AdmitsLargeQueriesAsOftenAsSmallOnes)
{
    Teams::team_admission team;
    team.factor = 0.5;
    Core::random_engine random(1);
    std::array<double, 2> offered {};
    std::array<double, 2> admitted {};
    for (int query = 0; query < 20000; ++query) {
        const std::size_t large = random() % 10 == 0 ? 1 : 0;
        offered.at(large) += 1.0;
        admitted.at(large) += Teams::admit(team, priority_class::Lookup, large == 1 ? 25.0 : 1.0) ? 0.0 : 1.0;
    }
    EXPECT_NEAR(admitted[1] / offered[1], 0.5, 0.05);
    EXPECT_NEAR(admitted[0] / offered[0], 0.5, 0.05);
}

TEST(Overload, AdmitsAlertsWhenOtherClassesAreRefused)
{
    Teams::overload_state state;
    state.limit = 100.0;
    while (!Teams::startLoad(state, priority_class::Lookup, 10.0)) { }
    EXPECT_TRUE(Teams::startLoad(state, priority_class::Ordinary, 10.0));
    EXPECT_FALSE(Teams::startLoad(state, priority_class::Alert, 10.0));
}

TEST(Overload, AdmitsQueriesWhenOnlyAFewAreSlow)
{
    Teams::overload_state state;
    Core::time_point now {};
    for (int query = 0; query < 1000; ++query) {
        ASSERT_FALSE(Teams::startLoad(state, priority_class::Ordinary, 8.0));
        now += std::chrono::seconds(1);
        Teams::endLoad(state, priority_class::Ordinary, 8.0, std::chrono::seconds(1), std::chrono::seconds(1), now);
    }
    for (int query = 0; query < 4; ++query) {
        EXPECT_FALSE(Teams::startLoad(state, priority_class::Ordinary, 8.0));
    }
}

TEST(Overload, LimitDecreasesUnderPressureAndRecoversAfterwards)
{
    Teams::overload_state state;
    Core::time_point now {};
    const auto serve = [&](Core::duration latency) {
        for (int query = 0; query < 200; ++query) {
            while (!Teams::startLoad(state, priority_class::Lookup, 10.0)) { }
            now += std::chrono::milliseconds(20);
            Teams::endLoad(state, priority_class::Lookup, 10.0, latency, std::chrono::seconds(1), now);
        }
    };
    const double before = state.limit;
    serve(std::chrono::milliseconds(900));
    const double limitUnderPressure = state.limit;
    EXPECT_LT(limitUnderPressure, before / 4.0);
    serve(std::chrono::milliseconds(10));
    EXPECT_GT(state.limit, limitUnderPressure * 4.0);
}

RC_GTEST_PROP(DivideCapacity, GrantsEachTeamItsShareWithinTheCapacity, ())
{
    const auto weights = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    const double sum = std::max(1, std::accumulate(weights.begin(), weights.end(), 0));
    std::vector<Teams::team_demand> claims;
    double demand = 0.0;
    for (const int weight : weights) {
        claims.push_back({weight / sum, static_cast<double>(*rc::gen::inRange(0, 5000))});
        demand += claims.back().demand;
    }
    constexpr double capacity = 10000.0;
    const std::vector<double> granted = Teams::divideCapacity(claims, capacity);
    double total = 0.0;
    for (std::size_t index = 0; index < claims.size(); ++index) {
        RC_ASSERT(granted[index] <= claims[index].demand + 1e-6);
        RC_ASSERT(granted[index] >= std::min(claims[index].demand, claims[index].share * capacity) - 1e-6);
        total += granted[index];
    }
    RC_ASSERT(std::abs(total - std::min(demand, capacity)) < 1e-3);
}

TEST(UsageExchange, EstimatesTotalsOfLiveDaemonsAndDropsLostOne)
{
    const Core::wall_time start {std::chrono::seconds(4000)};
    const std::uint32_t key = Teams::teamKey("a");
    std::array<Teams::usage_exchange, 3> daemons;
    const auto exchangeFrom = [&](Core::wall_time from, std::size_t live) {
        for (int round = 0; round < 400; ++round) {
            const Core::wall_time now = from + std::chrono::milliseconds(20) * round;
            for (std::size_t index = 0; index < live; ++index) {
                Teams::updateUsage(daemons[index], {{key, {100.0 * static_cast<double>(index + 1), 10.0}}}, now);
                const auto message = Teams::decodeUsage(Teams::encodeUsage(Teams::splitUsage(daemons[index])));
                Teams::mergeUsage(daemons[(index + 1) % live], message.value(), now);
            }
        }
    };
    exchangeFrom(start, 3);
    const Core::wall_time end = start + std::chrono::milliseconds(7980);
    EXPECT_NEAR(Teams::totalUsage(daemons[0], 3, end)[key].demand, 600.0, 20.0);
    EXPECT_NEAR(Teams::totalUsage(daemons[0], 3, end)[key].admitted, 30.0, 1.0);
    exchangeFrom(start + std::chrono::seconds(8), 2);
    EXPECT_NEAR(Teams::totalUsage(daemons[0], 2, end + std::chrono::seconds(8))[key].demand, 300.0, 10.0);
}

TEST(UsageCodec, RejectsMalformedMessages)
{
    Teams::usage_message message;
    message[7].weight = 0.5;
    message[7].sums[Teams::teamKey("a")] = {Teams::roundRate(123.4), Teams::roundRate(-5.6)};
    const std::string text = Teams::encodeUsage(message);
    EXPECT_EQ(Teams::decodeUsage(text), message);
    for (std::size_t length = 1; length < text.size(); ++length) {
        EXPECT_FALSE(Teams::decodeUsage(std::string_view(text).substr(0, length)));
    }
}
