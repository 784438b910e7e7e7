#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Wire
{
struct configuration_reply;
}

struct daemon_state;

/// Keeps the most recent configuration documents that were in force on this daemon, so that newer ones can be
/// propagated as patches. Thread-safe.
class configuration_history
{
public:
    explicit configuration_history(daemon_state &daemon);

    /// Stores the document in force if it is not stored yet.
    void keepCurrent();
    /// Returns the reply for a peer whose configuration number in force is `aboveNumber`: a patch if that document is
    /// still kept, otherwise the complete document.
    Wire::configuration_reply replyFor(std::uint64_t aboveNumber);
    /// Puts the configuration of a peer's reply in force. Returns false if the patch does not apply to a document kept
    /// here or the checksum differs; the complete document must then be requested.
    bool adopt(const Wire::configuration_reply &reply);

private:
    daemon_state &m_daemon;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::string> m_texts; ///< Document texts by configuration number; guarded by m_mutex.
};
