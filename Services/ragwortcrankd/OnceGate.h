#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"
#include "OnceAnswer.h"

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
struct once_shard;

/// Runs each non-idempotent request at most once: it can start only at the daemon that its id names; when a retry
/// arrives at another daemon, that daemon asks the named one for the result. Thread-safe.
class once_gate
{
public:
    explicit once_gate(daemon_state &daemon);
    ~once_gate();
    once_gate(const once_gate &) = delete;
    once_gate &operator=(const once_gate &) = delete;

    /// Calls `start` with the responder if the request has to run now; otherwise responds directly, immediately or once
    /// the result is available.
    void begin(const Query::query_request &request, Platform::http_responder responder,
               const std::function<void(Platform::http_responder)> &start);
    /// Records the response of a request that was started, and sends it to all waiting requests.
    void finish(const std::string &requestId, const Platform::http_response &response);
    /// Replies to another daemon's question about a request, immediately or when the request ends.
    void resolve(const std::string &requestId, std::uint64_t fingerprint,
                 const std::function<void(once_answer)> &reply);

private:
    static constexpr std::size_t shardCount = 16;

    once_shard &shardOf(const std::string &requestId);
    [[nodiscard]] Core::wall_time now() const;
    void askNamedDaemon(const std::string &requestId, std::uint64_t fingerprint,
                        std::function<void(once_answer)> answer);

    daemon_state &m_daemon;
    const Core::time_point m_startedAt; ///< Together with m_startedAtWallTime forms a civil clock that never goes back.
    const Core::wall_time m_startedAtWallTime;
    std::array<std::unique_ptr<once_shard>, shardCount> m_shards;
};
