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

/// The latest documents that were in force here, to hand a newer one on as a patch. All functions may be called from
/// any thread.
class configuration_history
{
public:
    explicit configuration_history(daemon_state &daemon);

    /// Keeps the document in force, if it is new.
    void keepCurrent();
    /// What a peer gets that has the number `aboveNumber` in force.
    Wire::configuration_reply replyFor(std::uint64_t aboveNumber);
    /// Puts a peer's reply in force. Returns false if it does not fit this daemon's document, so that a whole one must
    /// be asked for.
    bool adopt(const Wire::configuration_reply &reply);

private:
    daemon_state &m_daemon;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::string> m_texts; ///< By number; guarded by m_mutex.
};
