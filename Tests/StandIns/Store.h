#pragma once

#include "LibCore/Time.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponder.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace StandIns
{
/// A stand-in for the platform's object store: versions, conditional updates, watches, counted calls and faults.
/// Objects live under /objects/KEY; POST /faults sets {"down", "delay_ms", "lose_replies", "silent"}; GET /counters
/// counts calls. A silent store takes requests and answers none of them, waiting watches included, until it is set
/// back.
class store
{
public:
    store();
    ~store();
    store(const store &) = delete;
    store &operator=(const store &) = delete;

    void handle(const Platform::http_request &request, Platform::http_responder responder);

private:
    struct object {
        std::uint64_t version = 0;
        std::string body;
    };
    struct waiting_watch {
        std::string key;
        std::string knownTag;
        Core::time_point until;
        Platform::http_responder responder;
    };

    void handleObject(const Platform::http_request &request, Platform::http_responder responder);
    void write(const std::string &key, const Platform::http_request &request, Platform::http_responder responder);
    void watch(const std::string &key, const Platform::http_request &request, Platform::http_responder responder);
    void setFaults(const std::string &body);
    void answerHeld();
    std::string countersText();
    void answerWatches();

    std::mutex m_mutex; ///< Guards all that follows.
    std::map<std::string, object> m_objects;
    std::vector<waiting_watch> m_watches;
    std::map<std::string, std::uint64_t> m_counters;
    bool m_down = false;
    bool m_silent = false;
    std::vector<std::pair<Platform::http_request, Platform::http_responder>> m_held; ///< Requests of a silent store.
    std::int64_t m_loseReplies = 0; ///< Writes left that take effect without an answer.
    Core::duration m_delay {};
    bool m_stopping = false;
    std::thread m_watchThread;
};
} // namespace StandIns
