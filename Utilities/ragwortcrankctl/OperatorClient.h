#pragma once

#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/CallOutcome.h"

#include <string>

/// Sends operator requests to one daemon.
class operator_client
{
public:
    operator_client(std::string address, std::string operatorKey);

    [[nodiscard]] Platform::call_outcome send(const std::string &method, const std::string &path,
                                              const std::string &body = "");

private:
    std::string m_address;
    std::string m_operatorKey;
    Platform::blocking_http_client m_client;
};
