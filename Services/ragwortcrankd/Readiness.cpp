#include "Readiness.h"

#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/HttpResponse.h"
#include "MembershipLoop.h"

static const char *reasonNotReady(daemon_state &daemon)
{
    if (daemon.configuration.current()->number == 0) {
        return "no configuration is in force\n";
    }
    if (daemon.membership->isLeaving()) {
        return "this VM is leaving\n";
    }
    if (daemon.membership->isIsolated()) {
        return "neither the store nor any peer was heard for some seconds\n";
    }
    if (!daemon.membership->mayRunSlowStart()) {
        return "this VM joined a moment ago and may not warm replicas yet\n";
    }
    return nullptr;
}

void handleReadiness(daemon_state &daemon, Platform::http_responder responder)
{
    const char *reason = reasonNotReady(daemon);
    Platform::http_response response;
    response.status = reason == nullptr ? 200 : 503;
    response.contentType = "text/plain";
    response.body = reason == nullptr ? "ready\n" : reason;
    responder.respond(response);
}
