#include "OperatorClient.h"

#include "LibPlatform/HttpCall.h"

#include <utility>

/// Longer than a daemon may need to resolve a lost reply of the store.
static constexpr std::chrono::seconds requestTimeout {20};

operator_client::operator_client(std::vector<std::string> addresses, std::string operatorKey)
    : m_addresses(std::move(addresses))
    , m_operatorKey(std::move(operatorKey))
{
}

Platform::call_outcome operator_client::sendTo(const std::string &address, const std::string &method,
                                               const std::string &path, const std::string &body)
{
    Platform::http_call call;
    call.method = method;
    call.url = "http://" + address + path;
    call.headers = {"Authorization: Bearer " + m_operatorKey, "Content-Type: application/json"};
    call.body = body;
    call.timeout = requestTimeout;
    return m_client.send(std::move(call));
}

Platform::call_outcome operator_client::send(const std::string &method, const std::string &path,
                                             const std::string &body)
{
    Platform::call_outcome last;
    last.failure = Platform::call_failure::ConnectFailed;
    for (std::size_t tried = 0; tried < m_addresses.size(); ++tried) {
        const std::size_t index = (m_preferred + tried) % m_addresses.size();
        Platform::call_outcome outcome = sendTo(m_addresses[index], method, path, body);
        if (outcome.failure == Platform::call_failure::None) {
            m_preferred = index;
            return outcome;
        }
        // A daemon that took the request and gave no answer may have carried it out, whatever the later ones say.
        if (outcome.failure != Platform::call_failure::ConnectFailed
            || last.failure == Platform::call_failure::ConnectFailed) {
            last = std::move(outcome);
        }
    }
    return last;
}
