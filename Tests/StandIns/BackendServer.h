#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"
#include "StandIns/BackendFaults.h"
#include "StandIns/BackendJob.h"

#include <boost/json/object.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Platform
{
struct http_request;
}

namespace StandIns
{
/// A stand-in for one replica: slots, a queue, deadlines, cancellation, cold start, and faults set by POST /faults.
/// GET /runs tells how often each request id was run, how many requests arrived and how long ago the last one did, how
/// many it held at once while it was cold, and the traceparent headers of requests whose trace is sampled.
class backend_server
{
public:
    backend_server(std::string shard, std::uint32_t slots, std::uint64_t seed);
    ~backend_server();
    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;

    void handle(const Platform::http_request &request, Platform::http_responder responder);

private:
    void accept(const Platform::http_request &request, Platform::http_responder responder);
    void cancel(const std::string &attemptId);
    void runJobs();
    void startJobs(Core::time_point now);
    void finishJobs(Core::time_point now);
    [[nodiscard]] boost::json::object describe() const;
    void answer(backend_job &job);
    std::string runsText();

    const std::string m_shard;
    const std::uint32_t m_slots;
    std::mutex m_mutex; ///< Guards all that follows.
    std::condition_variable m_wake;
    Core::random_engine m_random;
    backend_faults m_faults;
    std::string m_incarnation;
    std::vector<backend_job> m_waiting;
    std::vector<backend_job> m_running;
    std::vector<backend_job> m_silent; ///< Never answered; kept so that their connections stay open.
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_received = 0; ///< Shard requests, refused ones too.
    std::uint64_t m_mostRunning = 0;
    Core::time_point m_lastRequest = std::chrono::steady_clock::now(); ///< When shard work last arrived, or the start.
    std::vector<std::string> m_traceParents; ///< Of sampled requests, in the order of arrival.
    std::uint64_t m_mostWhileCold = 0; ///< Requests held at once since it was last told to be cold.
    bool m_stopping = false;
    std::thread m_thread;
};
} // namespace StandIns
