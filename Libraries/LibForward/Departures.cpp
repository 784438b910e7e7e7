#include "LibForward/Departures.h"

namespace Forward
{
using namespace std::chrono_literals;

/// Live replicas register again within 2 s of the store's return; the rest is the way of the news.
static constexpr Core::duration returnTime = 2500ms;
/// After the store answers again, registrations that lapsed meanwhile are still reported for so long.
static constexpr Core::duration doubtTime = 4s;

void doubtStore(departures &pending, Core::time_point now)
{
    pending.storeDoubtedUntil = now + doubtTime;
}

void recordMissing(departures &pending, const std::string &id, Core::time_point now)
{
    const bool doubted = now < pending.storeDoubtedUntil;
    pending.goneAt.try_emplace(id, doubted ? now + returnTime : now);
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
