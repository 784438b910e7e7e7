#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/HttpResponder.h"
#include "LibWire/BranchStream.h"

#include <mutex>

/// Counts running work, so that a planned stop can wait for it instead of aborting it. Thread-safe; must outlive
/// everything that it counts.
class drain_control
{
public:
    /// Counts a caller's request until its response has been sent.
    Platform::http_responder count(Platform::http_responder responder);
    /// Counts a branch until it ends.
    Wire::branch_stream count(Wire::branch_stream stream);

    void begin();
    void end();
    /// Returns whether nothing is running and nothing ended within the last `quiet`.
    bool isQuiet(Core::duration quiet) const;
    int running() const;

private:
    mutable std::mutex m_mutex;
    int m_running = 0; ///< Guarded by m_mutex.
    Core::time_point m_lastEnd; ///< Guarded by m_mutex.
};
