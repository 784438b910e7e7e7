#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/HttpChannel.h"

#include <optional>
#include <string>

using namespace std::chrono_literals;

namespace
{
/// A channel as the daemon has it to the store and to other daemons: no field identifies the response.
class http_channel_test : public loop_fixture
{
protected:
    Front::exchange_result callWith(const std::string &bytes)
    {
        raw_server server(m_loop, [&](raw_connection &peer) { peer.send(bytes); });
        Front::http_channel channel(m_loop, m_timers, server.address());
        std::optional<Front::exchange_result> result;
        channel.call("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 2s,
                     [&](Front::exchange_result ended) { result = std::move(ended); });
        EXPECT_TRUE(runUntil([&]() { return result.has_value(); }));
        return result ? std::move(*result) : Front::exchange_result {};
    }

    static std::string response(const std::string &status, const std::string &fields = "")
    {
        return "HTTP/1.1 " + status + " Reason\r\n" + fields + "Content-Length: 2\r\n\r\n{}";
    }
};
} // namespace

/// Guards against a broken head that counts as a response of the store or of another daemon.
TEST_F(http_channel_test, BrokenHeadIsNoResponse)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        EXPECT_FALSE(callWith(response(status)).reply) << status;
    }
    for (const std::string fields : {"X: a\r\n b\r\n", "X: a\r\n\tY: b\r\n", "X Y: a\r\n", "X\x01: a\r\n"}) {
        EXPECT_FALSE(callWith(response("200", fields)).reply) << fields;
    }
    EXPECT_FALSE(callWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}").reply);
}

TEST_F(http_channel_test, SoundResponseIsAccepted)
{
    const Front::exchange_result result = callWith(response("200", "X: a\r\nX: b\r\n"));
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "{}");
    EXPECT_EQ(result.reply->count("X"), 2U);
}
