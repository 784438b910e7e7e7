#include "OperatorClient.h"

#include "LibPlatform/HttpCall.h"

#include <utility>

static constexpr std::chrono::seconds requestTimeout {15};

operator_client::operator_client(std::string address, std::string operatorKey)
    : m_address(std::move(address))
    , m_operatorKey(std::move(operatorKey))
{
}

Platform::call_outcome operator_client::send(const std::string &method, const std::string &path,
                                             const std::string &body)
{
    Platform::http_call call;
    call.method = method;
    call.url = "http://" + m_address + path;
    call.headers = {"Authorization: Bearer " + m_operatorKey, "Content-Type: application/json"};
    call.body = body;
    call.timeout = requestTimeout;
    return m_client.send(std::move(call));
}
