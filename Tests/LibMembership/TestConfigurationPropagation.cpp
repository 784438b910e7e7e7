#include "LibMembership/ConfigurationPropagation.h"
#include "LibMembership/ParseVmList.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace json = boost::json;

static json::object randomObject(int depth)
{
    json::object object;
    const int members = *rc::gen::inRange(0, 4);
    for (int index = 0; index < members; ++index) {
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        if (depth > 0 && *rc::gen::arbitrary<bool>()) {
            object[key] = randomObject(depth - 1);
        } else {
            object[key] = *rc::gen::inRange(0, 3);
        }
    }
    return object;
}

RC_GTEST_PROP(ConfigurationPropagation, ProducesTargetDocumentWhenMergePatchIsApplied, ())
{
    const json::object before = randomObject(3);
    const json::object after = randomObject(3);
    const auto patch = Membership::makeMergePatch(json::serialize(before), json::serialize(after));
    const auto patched = Membership::applyMergePatch(json::serialize(before), patch.value());
    RC_ASSERT(Membership::documentChecksum(patched.value()) == Membership::documentChecksum(json::serialize(after)));
    if (before != after) {
        RC_ASSERT(Membership::documentChecksum(json::serialize(before))
                  != Membership::documentChecksum(json::serialize(after)));
    }
}

TEST(ConfigurationPropagation, SkipsItemsOfVmListWhenTheyAreNotVms)
{
    const auto list = Membership::parseVmList(
        R"([{"name":"a","caller_address":"1","peer_address":"2","data_centre":"d","leaving":true},{"name":"b"},3])");
    ASSERT_EQ(list.value().size(), 1U);
    EXPECT_TRUE(list.value().front().leaving);
    EXPECT_FALSE(Membership::parseVmList("{}"));
}
