#include "LibForward/Departures.h"

namespace Forward
{
using namespace std::chrono_literals;

/// Live replicas register again within 2 s of the store's return; the rest is the way of the news.
static constexpr Core::duration returnTime = 2500ms;
Core::time_point recordMissing(departures &pending, const std::string &id, missing_cause cause, Core::time_point now)
{
    const Core::duration wait = cause == missing_cause::Doubted ? returnTime : Core::duration {};
    return pending.goneAt.try_emplace(id, now + wait).first->second;
}

void recordPresent(departures &pending, const std::string &id)
{
    pending.goneAt.erase(id);
}

std::vector<std::string> takeGone(departures &pending, Core::time_point now)
{
    std::vector<std::string> gone;
    for (auto entry = pending.goneAt.begin(); entry != pending.goneAt.end();) {
        if (entry->second <= now) {
            gone.push_back(entry->first);
            entry = pending.goneAt.erase(entry);
        } else {
            ++entry;
        }
    }
    return gone;
}
} // namespace Forward
