#pragma once

#include "LibPlatform/HttpResponder.h"

#include <string>

namespace Platform
{
struct http_request;
}

struct daemon_state;
class patch_writer;

/// Serves operators under /v1/operator/. Every request must carry the operator key.
class operator_api
{
public:
    operator_api(daemon_state &daemon, patch_writer &writer);

    void handle(const Platform::http_request &request, Platform::http_responder responder);

private:
    void readConfiguration(Platform::http_responder responder);
    void reportChange(const std::string &numberText, Platform::http_responder responder);
    void reportAccounts(Platform::http_responder responder);
    void reportTraces(Platform::http_responder responder);
    void reportRollout(const std::string &name, Platform::http_responder responder);
    void patchConfiguration(const Platform::http_request &request, Platform::http_responder responder);

    daemon_state &m_daemon;
    patch_writer &m_writer;
};
