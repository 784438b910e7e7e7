#include "LibBackend/ConnectionsPerOwner.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

RC_GTEST_PROP(connections, OwnersAndAReplacementStayWithinTheLimit, ())
{
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 200);
    const auto owners = *rc::gen::inRange<std::uint32_t>(1, 600);
    const std::uint32_t each = Backend::connectionsPerOwner(limit, owners);
    // One owner that has left without closing its connections still counts.
    RC_ASSERT(each * (owners + 1) <= limit);
    RC_ASSERT(limit < 2 * (owners + 1) || each > 0);
}
