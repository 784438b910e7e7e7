#include "LibPlatform/StoreClient.h"

#include "LibCore/Try.h"
#include "LibPlatform/HttpCall.h"

#include <utility>

namespace Platform
{
store_client::store_client(std::string baseUrl, Core::duration timeout)
    : m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{
}

static Core::result<http_response> checkOutcome(call_outcome outcome, const std::string &what)
{
    switch (outcome.failure) {
    case call_failure::None:
        break;
    case call_failure::ConnectFailed:
        return Core::error {Core::error_code::Unavailable, "store cannot be reached to " + what};
    case call_failure::ConnectionLost:
    case call_failure::TimedOut:
        return Core::error {Core::error_code::TimedOut, "store gave no answer to " + what};
    }
    if (outcome.response.status == 404) {
        return Core::error {Core::error_code::NotFound, "store has no object to " + what};
    }
    if (outcome.response.status == 409 || outcome.response.status == 412) {
        return Core::error {Core::error_code::Conflict, "store holds another version than expected to " + what};
    }
    if (outcome.response.status >= 500) {
        return Core::error {Core::error_code::Unavailable,
                            "store answered " + std::to_string(outcome.response.status) + " to " + what};
    }
    return std::move(outcome.response);
}

Core::result<stored_object> store_client::read(const std::string &key)
{
    http_call call;
    call.url = m_baseUrl + "/objects/" + key;
    call.timeout = m_timeout;
    http_response response = TRY(checkOutcome(m_client.send(std::move(call)), "read \"" + key + "\""));
    return stored_object {response.headers["etag"], std::move(response.body)};
}

Core::result<std::optional<stored_object>> store_client::watch(const std::string &key, const std::string &knownTag,
                                                               Core::duration longest)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
    http_call call;
    call.url = m_baseUrl + "/objects/" + key + "?watch=" + knownTag + "&timeout_ms=" + std::to_string(milliseconds);
    call.timeout = longest + m_timeout;
    http_response response = TRY(checkOutcome(m_client.send(std::move(call)), "watch \"" + key + "\""));
    if (response.status == 304) {
        return std::optional<stored_object>();
    }
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
    http_response response = TRY(checkOutcome(m_client.send(std::move(call)), "write \"" + key + "\""));
    return response.headers["etag"];
}
} // namespace Platform
