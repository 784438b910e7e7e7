#include "LibWire/GossipCodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>
#include <kj/exception.h>

TEST(GossipCodec, RejectsMessageWithTooManyListItems)
{
    constexpr unsigned tooMany = 4097;
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::GossipMessage>();
    root.initWanted(tooMany);
    EXPECT_THROW(static_cast<void>(Wire::decodeGossip(root.asReader())), kj::Exception);
    root.initWanted(tooMany - 1);
    EXPECT_EQ(Wire::decodeGossip(root.asReader()).requestedIds.size(), tooMany - 1);
}
