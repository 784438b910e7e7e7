#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"
#include "LibWire/BranchStream.h"

#include <mutex>

/// Counts the work that runs, so that a planned stop cuts none. All functions may be called from any thread; it must
/// outlive everything that it counts.
class drain_control
{
public:
    /// Counts a caller's request until its answer was sent.
    Platform::http_responder count(Platform::http_responder responder);
    /// Counts a branch until it ends.
    Wire::branch_stream count(Wire::branch_stream stream);

    void begin();
    void end();
    /// Whether nothing runs and nothing ended within the last `quiet`.
    bool isQuiet(Core::duration quiet) const;
    int running() const;

private:
    mutable std::mutex m_mutex;
    int m_running = 0; ///< Guarded by m_mutex.
    Core::time_point m_lastEnd; ///< Guarded by m_mutex.
};
