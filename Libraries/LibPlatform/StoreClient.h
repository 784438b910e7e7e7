#pragma once

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpClient.h"
#include "LibPlatform/StoredObject.h"

#include <atomic>
#include <optional>
#include <string>

namespace Platform
{
/// A synchronous client of the platform's object store. All functions but interrupt() must be called from one thread;
/// each call waits for the response or the timeout.
class store_client
{
public:
    /// Uses the store at `baseUrl`, such as http://127.0.0.1:9000; each call but watch() ends within `timeout`.
    store_client(std::string baseUrl, Core::duration timeout);

    /// Reads an object. Errors: NotFound, Unavailable, TimedOut.
    [[nodiscard]] Core::result<stored_object> read(const std::string &key);
    /// Waits for at most `maximumWait` until the object's tag differs from `knownTag`. Returns nothing if it does not
    /// change.
    [[nodiscard]] Core::result<std::optional<stored_object>> watch(const std::string &key, const std::string &knownTag,
                                                                   Core::duration maximumWait);
    /// Writes an object if its tag is still `expectedTag` (empty: if it does not exist) and returns the new tag.
    /// Errors: Conflict and Unavailable, after which this write certainly has no effect, and TimedOut, after which it
    /// may have taken effect or may still do so.
    [[nodiscard]] Core::result<std::string> write(const std::string &key, const std::string &body,
                                                  const std::string &expectedTag);
    /// Fails the running call and all later ones with Unavailable (a write with TimedOut). May be called from any
    /// thread.
    void interrupt();

private:
    call_outcome send(http_call call);

    std::string m_baseUrl;
    Core::duration m_timeout;
    std::atomic<bool> m_interrupted {false};
    http_client m_client;
};
} // namespace Platform
