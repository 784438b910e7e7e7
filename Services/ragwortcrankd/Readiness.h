#pragma once

#include "LibPlatform/HttpResponder.h"

struct daemon_state;

/// Serves GET /readyz: 200 if callers may be sent here, else 503 with the reason.
void handleReadiness(daemon_state &daemon, Platform::http_responder responder);
