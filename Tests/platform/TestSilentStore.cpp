#include "DaemonFixture.h"

using namespace std::chrono_literals;

namespace
{
class silent_store_test : public daemon_test
{
protected:
    static std::string configurationWithVersion(int version)
    {
        std::string text = sampleConfiguration;
        const std::string field = R"("version": 5)";
        return text.replace(text.find(field), field.size(), R"("version": )" + std::to_string(version));
    }

    bool versionBecomes(int version)
    {
        const std::string wanted = "ragwortcrank_configuration_version " + std::to_string(version) + "\n";
        return runUntil([&]() { return sendRequest(m_control, "GET /metrics").find(wanted) != std::string::npos; });
    }
};
} // namespace

/// A watch is sent while the store is silent for a moment, and is lost without an error. It would have waited for 27 s,
/// and the next change with it.
TEST_F(silent_store_test, ChangeAfterAWatchWasLostIsInForceSoon)
{
    constexpr std::chrono::seconds allowedTime {3};
    m_store.putText("config", "main", configurationWithVersion(5));
    startDaemon();
    ASSERT_TRUE(becomesReady());
    for (int version = 6; version < 18; version += 2) {
        m_store.putText("config", "main", configurationWithVersion(version));
        ASSERT_TRUE(versionBecomes(version));
        // The next watch follows soon after the event.
        m_store.injectFault(store_fault::Silent);
        runFor(150ms + std::chrono::milliseconds(20 * version));
        m_store.injectFault(store_fault::None);
        m_store.putText("config", "main", configurationWithVersion(version + 1));
        const auto changedAt = std::chrono::steady_clock::now();
        ASSERT_TRUE(versionBecomes(version + 1));
        EXPECT_LT(std::chrono::steady_clock::now() - changedAt, allowedTime) << version;
    }
}
