#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Platform
{
struct call_outcome;
struct http_call;

/// An asynchronous HTTP/1.1 client on libcurl's multi interface with kept connections. All calls but wakeUp() belong
/// to one thread, which also runs the completion functions.
class http_client
{
public:
    using completion = std::function<void(call_outcome)>;

    /// Keeps at most `connectionsPerHost` connections to one address and port.
    explicit http_client(long connectionsPerHost);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call and returns its number.
    std::uint64_t start(http_call call, completion done);
    /// Ends a call without running its completion; its connection is closed, so that no late answer meets a later call.
    void cancel(std::uint64_t number);
    /// Waits for activity, at most `longest`, and runs the completions that are due.
    void run(Core::duration longest);
    /// Ends a running or the next run() early; from any thread.
    void wakeUp();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};
} // namespace Platform
