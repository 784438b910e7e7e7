#pragma once

#include "AtMostOnceAnswer.h"
#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Platform
{
struct http_response;
}

namespace Query
{
struct query_request;
}

struct daemon_state;
struct at_most_once_shard;

/// Runs each non-idempotent request at most once: it can start only at the daemon that its id names; when a retry
/// arrives at another daemon, that daemon asks the named one for the result. Thread-safe.
class at_most_once_gate
{
public:
    explicit at_most_once_gate(daemon_state &daemon);
    ~at_most_once_gate();
    at_most_once_gate(const at_most_once_gate &) = delete;
    at_most_once_gate &operator=(const at_most_once_gate &) = delete;

    /// Calls `start` with the responder if the request has to run now; otherwise responds directly, immediately or once
    /// the result is available.
    void begin(const Query::query_request &request, Platform::http_responder responder,
               const std::function<void(Platform::http_responder)> &start);
    /// Records the response of a request that was started, and sends it to all waiting requests.
    void finish(const std::string &requestId, const Platform::http_response &response);
    /// Replies to another daemon's question about a request, immediately or when the request ends.
    void resolve(const std::string &requestId, std::uint64_t fingerprint,
                 const std::function<void(at_most_once_answer)> &reply);

private:
    static constexpr std::size_t shardCount = 16;

    at_most_once_shard &findShard(const std::string &requestId);
    [[nodiscard]] Core::wall_time now() const;
    void askNamedDaemon(const std::string &requestId, std::uint64_t fingerprint,
                        std::function<void(at_most_once_answer)> answer);

    daemon_state &m_daemon;
    const Core::time_point m_startedAt; ///< Together with m_startedAtWallTime forms a civil clock that never goes back.
    const Core::wall_time m_startedAtWallTime;
    std::array<std::unique_ptr<at_most_once_shard>, shardCount> m_shards;
};
