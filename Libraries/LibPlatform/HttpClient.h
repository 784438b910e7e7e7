#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Platform
{
struct call_outcome;
struct http_call;

/// An asynchronous HTTP/1.1 client that uses libcurl's multi interface and keeps connections alive. All functions but
/// wakeUp() must be called from one thread, which also runs the completions.
class http_client
{
public:
    using completion = std::function<void(call_outcome)>;

    /// Opens at most `connectionsPerHost` connections to one address and port.
    explicit http_client(long connectionsPerHost);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call and returns its number.
    std::uint64_t start(http_call call, completion done);
    /// Cancels a call without running its completion. Its connection is closed, so that a late response cannot be taken
    /// for that of a later call.
    void cancel(std::uint64_t number);
    /// Waits for activity for at most `maximumWait` and runs the completions of the calls that have ended.
    void run(Core::duration maximumWait);
    /// Makes the running or the next run() return early. May be called from any thread.
    void wakeUp();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
} // namespace Platform
