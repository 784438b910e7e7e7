#include "LibForward/FleetSizeHistory.h"

namespace Forward
{
std::size_t maximumFleetSize(fleet_size_history &history, std::size_t daemons, Core::duration retention,
                             Core::time_point now)
{
    while (!history.samples.empty() && history.samples.back().daemons <= daemons) {
        history.samples.pop_back();
    }
    history.samples.push_back({now, daemons});
    while (history.samples.front().lastSeenAt < now - retention) {
        history.samples.pop_front();
    }
    return history.samples.front().daemons;
}
} // namespace Forward
