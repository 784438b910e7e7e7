#pragma once

#include "LibPlatform/HttpResponder.h"

struct daemon_state;

/// Serves GET /readyz: 200 if this daemon may receive callers' requests, otherwise 503 with the reason.
void handleReadiness(daemon_state &daemon, Platform::http_responder responder);
