#include "LibBackend/ConnectionsPerOwner.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

RC_GTEST_PROP(connections, StaysWithinLimitWhenOneOwnerIsReplaced, ())
{
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 200);
    const auto owners = *rc::gen::inRange<std::uint32_t>(1, 600);
    const std::uint32_t each = Backend::connectionsPerOwner(limit, owners);
    // A departed owner that has not closed its connections still counts against the limit.
    RC_ASSERT(each * (owners + 1) <= limit);
    RC_ASSERT(limit < 2 * (owners + 1) || each > 0);
}
