#pragma once

#include "LibPlatform/HttpResponder.h"

namespace Platform
{
struct http_request;
}

struct daemon_state;

/// Serves GET /v1/entries?data_centre=NAME: the addresses that callers may use, those near the caller first.
void handleEntries(daemon_state &daemon, const Platform::http_request &request, Platform::http_responder responder);
