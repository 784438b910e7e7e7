#include "LibForward/ResponseMemory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace
{
constexpr std::size_t chunk = 4096;
constexpr std::size_t kilobyte = 1024;
} // namespace

/// Load: a gather over 225 shards, a third of whose replicas send bytes without end. Their sum used up the memory of
/// the daemon, although each response was limited.
TEST(ResponseMemory, ResponsesWithoutEndStayWithinTheLimitTogether)
{
    Forward::response_memory memory;
    memory.limit = 1000 * kilobyte;
    std::map<std::uint64_t, std::size_t> held;
    std::set<std::uint64_t> closed;
    for (std::uint64_t connection = 0; connection < 225; ++connection) {
        held[connection] = 0;
    }
    for (int round = 0; round < 300; ++round) {
        for (auto &[connection, bytes] : held) {
            const bool isEndless = connection % 3 == 0;
            if (closed.contains(connection) || (!isEndless && bytes >= 2 * chunk)) {
                continue;
            }
            bytes += chunk;
            if (const auto largest = Forward::recordResponseBytes(memory, connection, bytes)) {
                EXPECT_EQ(*largest % 3, 0U) << "a replica's sound response was dropped";
                Forward::releaseResponseBytes(memory, *largest);
                closed.insert(*largest);
            }
            ASSERT_LE(memory.total, memory.limit);
        }
    }
    EXPECT_FALSE(closed.empty());
}

/// One response is far larger than the others: it is dropped, whichever exceeds the limit.
TEST(ResponseMemory, LargestResponseIsDropped)
{
    Forward::response_memory memory;
    memory.limit = 100 * kilobyte;
    EXPECT_FALSE(Forward::recordResponseBytes(memory, 1, 70 * kilobyte));
    EXPECT_FALSE(Forward::recordResponseBytes(memory, 2, 25 * kilobyte));
    EXPECT_EQ(Forward::recordResponseBytes(memory, 2, 40 * kilobyte), 1U);
    Forward::releaseResponseBytes(memory, 1);
    EXPECT_EQ(memory.total, 40 * kilobyte);
    EXPECT_FALSE(Forward::recordResponseBytes(memory, 3, 60 * kilobyte));
}

TEST(ResponseMemory, ReleasedConnectionsHoldNothing)
{
    Forward::response_memory memory;
    for (std::uint64_t connection = 0; connection < 1000; ++connection) {
        EXPECT_FALSE(Forward::recordResponseBytes(memory, connection, 1000 * kilobyte));
        Forward::releaseResponseBytes(memory, connection);
        Forward::releaseResponseBytes(memory, connection);
    }
    EXPECT_EQ(memory.total, 0U);
    EXPECT_TRUE(memory.bytesByConnection.empty());
}
