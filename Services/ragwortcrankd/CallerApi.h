#pragma once

#include "LibCore/RandomEngine.h"
#include "LibPlatform/HttpResponder.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Platform
{
struct http_request;
struct http_response;
} // namespace Platform

namespace Query
{
struct query_plan;
struct query_result;
struct query_request;
} // namespace Query

struct admitted_query;
struct daemon_state;
class query_worker;

/// Serves the queries of callers: plans and admits them, and submits them to a worker.
class caller_api
{
public:
    caller_api(daemon_state &daemon, std::vector<std::unique_ptr<query_worker>> &workers, std::uint64_t seed);

    void handleQuery(const Platform::http_request &request, Platform::http_responder responder);

private:
    void startQuery(Query::query_request request, Platform::http_responder responder);
    void refuse(const Query::query_request &request, const Platform::http_response &refusal,
                Platform::http_responder responder);
    void submit(Query::query_request request, Query::query_plan plan, admitted_query admitted,
                Platform::http_responder responder);
    void endAdmission(const admitted_query &admitted, const Query::query_result &result);
    std::string makeRequestId();

    daemon_state &m_daemon;
    std::vector<std::unique_ptr<query_worker>> &m_workers;
    std::atomic<std::uint64_t> m_nextWorker {0};
    std::mutex m_randomMutex;
    Core::random_engine m_random; ///< Guarded by m_randomMutex.
};
