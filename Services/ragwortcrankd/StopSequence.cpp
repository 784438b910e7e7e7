#include "StopSequence.h"

#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibObservability/Log.h"
#include "MembershipLoop.h"

#include <algorithm>
#include <csignal>
#include <ctime>

static constexpr std::chrono::milliseconds minimumQuietTime {300};
static constexpr std::chrono::milliseconds signalPollInterval {50};

static sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

/// Waits up to `timeout` and returns whether a stop signal was received.
static bool receivesStopSignalWithin(std::chrono::nanoseconds timeout)
{
    const sigset_t signals = stopSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timespec wait {seconds.count(), (timeout - seconds).count()};
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

bool drain(daemon_state &daemon, membership_loop &membership)
{
    membership.leave();
    const Core::time_point started = std::chrono::steady_clock::now();
    const Core::time_point limit = started + daemon.daemonSettings.drainLimit;
    const Core::duration timeToLive = daemon.configuration.current()->tier.entryTimeToLive;
    const Core::time_point addressExpiresAt = started + timeToLive + membership.propagationTime();
    while (std::chrono::steady_clock::now() < limit) {
        if (std::chrono::steady_clock::now() >= addressExpiresAt && daemon.drain.isQuiet(minimumQuietTime)) {
            return true;
        }
        if (receivesStopSignalWithin(signalPollInterval)) {
            Observability::logEvent(Observability::log_level::Info, "drain_interrupted");
            break;
        }
    }
    return daemon.drain.running() == 0;
}
