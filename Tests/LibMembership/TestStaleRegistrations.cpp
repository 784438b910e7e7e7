#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibMembership/StaleRegistrations.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace
{
constexpr Core::time_point start {1h};
using names = std::vector<std::string>;

Membership::member_record record(const std::string &name)
{
    return {name, 1, 1, name + ":80", name + ":81", "dc", false, 0};
}

class stale_registrations_test : public testing::Test
{
protected:
    names findStale(Core::time_point now)
    {
        return Membership::findStaleRegistrations(m_unknown, m_table, {"other", "self"}, now);
    }

    Membership::member_table m_table = Membership::makeTable(record("self"), {}, start);
    Membership::unknown_registrations m_unknown;
};
} // namespace

/// The data centres cannot reach each other for a while.
TEST_F(stale_registrations_test, KeepsSilentMember)
{
    Membership::mergeRecord(m_table, record("other"), {}, start);
    EXPECT_EQ(findStale(start + 5min), names {});
    EXPECT_EQ(findStale(start + 11min), names {"other"});
}

/// The fleet found itself in two parts, each of which lists the other's registrations.
TEST_F(stale_registrations_test, KeepsDaemonThatIsNotAMemberYet)
{
    EXPECT_EQ(findStale(start + 1min), names {});
    EXPECT_EQ(findStale(start + 2min), names {});
    Membership::mergeRecord(m_table, record("other"), {}, start + 2min);
    EXPECT_EQ(findStale(start + 3min), names {});
}

TEST_F(stale_registrations_test, FindsDaemonThatStaysUnknown)
{
    EXPECT_EQ(findStale(start + 1min), names {});
    EXPECT_EQ(findStale(start + 2min), names {});
    EXPECT_EQ(findStale(start + 3min), names {"other"});
}
