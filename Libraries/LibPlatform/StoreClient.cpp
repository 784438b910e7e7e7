#include "LibPlatform/StoreClient.h"

#include "LibCore/Try.h"
#include "LibPlatform/HttpCall.h"

#include <chrono>
#include <utility>

namespace Platform
{
static constexpr std::chrono::milliseconds pollInterval {100};
static constexpr int statusNotModified = 304;
static constexpr int firstRedirectionStatus = 300;
static constexpr int firstErrorStatus = 400;
static constexpr int firstServerErrorStatus = 500;

store_client::store_client(std::string baseUrl, Core::duration timeout)
    : m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
    , m_client(1)
{
}

void store_client::interrupt()
{
    m_interrupted = true;
    m_client.wakeUp();
}

call_outcome store_client::send(http_call call)
{
    std::optional<call_outcome> received;
    const std::uint64_t number =
        m_client.start(std::move(call), [&received](call_outcome outcome) { received = std::move(outcome); });
    while (!received && !m_interrupted) {
        m_client.run(pollInterval);
    }
    if (!received) {
        m_client.cancel(number);
        call_outcome interrupted;
        interrupted.failure = call_failure::ConnectionLost;
        return interrupted;
    }
    return std::move(*received);
}

static std::string statusMessage(const http_response &response, const std::string &operation)
{
    return "store responded with status " + std::to_string(response.status) + " to " + operation;
}

/// The client passes on no status below 200.
static bool isSuccess(const http_response &response)
{
    return response.status < firstRedirectionStatus;
}

/// Returns the response of a call that changes nothing, or maps its failure to an error.
static Core::result<http_response> checkRead(call_outcome outcome, const std::string &operation)
{
    if (outcome.failure == call_failure::TimedOut) {
        return Core::error {Core::error_code::TimedOut, "store did not respond in time to " + operation};
    }
    if (outcome.failure != call_failure::None) {
        return Core::error {Core::error_code::Unavailable, "store is unreachable: cannot " + operation};
    }
    if (outcome.response.status == 404) {
        return Core::error {Core::error_code::NotFound, "store has no such object: cannot " + operation};
    }
    if (!isSuccess(outcome.response)) {
        return Core::error {Core::error_code::Unavailable, statusMessage(outcome.response, operation)};
    }
    return std::move(outcome.response);
}

/// Returns the response of a write, or maps its failure to an error. After a server error or a redirection, the write
/// may or may not have taken effect.
static Core::result<http_response> checkWrite(call_outcome outcome, const std::string &operation)
{
    if (outcome.failure == call_failure::ConnectFailed) {
        return Core::error {Core::error_code::Unavailable, "store is unreachable: cannot " + operation};
    }
    if (outcome.failure != call_failure::None) {
        return Core::error {Core::error_code::TimedOut, "store did not respond, result unknown: " + operation};
    }
    const int status = outcome.response.status;
    if (status == 409 || status == 412) {
        return Core::error {Core::error_code::Conflict,
                            "store holds another version than expected: cannot " + operation};
    }
    if (status >= firstErrorStatus && status < firstServerErrorStatus) {
        return Core::error {Core::error_code::Unavailable, statusMessage(outcome.response, operation)};
    }
    if (!isSuccess(outcome.response)) {
        return Core::error {Core::error_code::TimedOut, statusMessage(outcome.response, operation)};
    }
    return std::move(outcome.response);
}

Core::result<stored_object> store_client::read(const std::string &key)
{
    http_call call;
    call.url = m_baseUrl + "/objects/" + key;
    call.timeout = m_timeout;
    http_response response = TRY(checkRead(send(std::move(call)), "read \"" + key + "\""));
    return stored_object {response.headers["etag"], std::move(response.body)};
}

Core::result<std::optional<stored_object>> store_client::watch(const std::string &key, const std::string &knownTag,
                                                               Core::duration maximumWait)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(maximumWait).count();
    http_call call;
    call.url = m_baseUrl + "/objects/" + key + "?watch=" + knownTag + "&timeout_ms=" + std::to_string(milliseconds);
    call.timeout = maximumWait + m_timeout;
    call_outcome outcome = send(std::move(call));
    if (outcome.failure == call_failure::None && outcome.response.status == statusNotModified) {
        return std::optional<stored_object>();
    }
    http_response response = TRY(checkRead(std::move(outcome), "watch \"" + key + "\""));
    return std::optional<stored_object>(stored_object {response.headers["etag"], std::move(response.body)});
}

Core::result<std::string> store_client::write(const std::string &key, const std::string &body,
                                              const std::string &expectedTag)
{
    http_call call;
    call.method = "PUT";
    call.url = m_baseUrl + "/objects/" + key;
    call.headers.push_back(expectedTag.empty() ? "If-None-Match: *" : "If-Match: " + expectedTag);
    call.headers.emplace_back("Content-Type: application/json");
    call.body = body;
    call.timeout = m_timeout;
    call.reuse = connection_reuse::Forbidden;
    http_response response = TRY(checkWrite(send(std::move(call)), "write \"" + key + "\""));
    return response.headers["etag"];
}
} // namespace Platform
