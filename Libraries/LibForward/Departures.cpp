#include "LibForward/Departures.h"

namespace Forward
{
Core::time_point recordMissing(departures &pending, const std::string &id, Core::duration doubt, Core::time_point now)
{
    return pending.goneAt.try_emplace(id, now + doubt).first->second;
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
