#pragma once

#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/CallOutcome.h"

#include <string>
#include <vector>

/// Sends operator requests to the first daemon of a list that answers.
class operator_client
{
public:
    operator_client(std::vector<std::string> addresses, std::string operatorKey);

    /// Sends a request that may be sent again without harm, to each daemon in turn until one answers. A daemon that
    /// answered is asked first the next time.
    [[nodiscard]] Platform::call_outcome send(const std::string &method, const std::string &path,
                                              const std::string &body = "");

private:
    Platform::call_outcome sendTo(const std::string &address, const std::string &method, const std::string &path,
                                  const std::string &body);

    std::vector<std::string> m_addresses;
    std::size_t m_preferred = 0;
    std::string m_operatorKey;
    Platform::blocking_http_client m_client;
};
