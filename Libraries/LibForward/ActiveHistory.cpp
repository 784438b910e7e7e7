#include "LibForward/ActiveHistory.h"

namespace Forward
{
std::size_t countRecentlyActive(active_history &history, const std::vector<std::uint64_t> &activeHashes,
                                Core::duration retention, Core::time_point now)
{
    for (const std::uint64_t hash : activeHashes) {
        history.lastActiveAt[hash] = now;
    }
    std::erase_if(history.lastActiveAt, [&](const auto &entry) { return entry.second < now - retention; });
    return history.lastActiveAt.size();
}
} // namespace Forward
