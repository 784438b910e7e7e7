#pragma once

#include "LibCore/RandomEngine.h"
#include "Policy/FakeReplicaSettings.h"
#include "Policy/FakeRequest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Bench
{
class event_queue;

/// A replica on virtual time: slots, a queue, stragglers, cold start and faults. It keeps its own record.
class fake_replica
{
public:
    fake_replica(event_queue &events, std::string shard, fake_replica_settings settings, std::uint64_t seed);

    fake_replica_settings settings;

    void accept(fake_request request);
    /// Drops a waiting or running request if the replica honours cancellation.
    void cancel(std::uint64_t id);
    /// Turns it cold, as a restart does; `announced` says whether its reports show it.
    void turnCold(bool announced);

    /// Requests that run or wait.
    [[nodiscard]] std::size_t held() const
    {
        return m_running.size() + m_waiting.size();
    }

    std::map<std::string, std::uint32_t> runsByRequest; ///< How often each request id was started; only if kept.
    bool keepsRuns = false;
    std::uint64_t received = 0; ///< Requests that arrived, refused ones included; scenarios set it to zero.
    std::uint64_t started = 0;
    std::uint64_t startedSince = 0; ///< Scenarios set it to zero to count from some moment.
    std::uint32_t mostWhileCold = 0; ///< Most requests that it held at once while it was cold.

private:
    struct running_request {
        fake_request request;
        Core::time_point startedAt;
    };

    void startNext();
    void finish(std::uint64_t id);
    void reply(const fake_request &request, Backend::attempt_failure failure) const;
    [[nodiscard]] Core::duration drawServiceTime();
    [[nodiscard]] fake_reply makeAnswer(const fake_request &request);

    event_queue &m_events;
    std::string m_shard;
    Core::random_engine m_random;
    std::deque<fake_request> m_waiting;
    std::map<std::uint64_t, running_request> m_running;
    std::uint32_t m_answeredWhileCold = 0;
};
} // namespace Bench
