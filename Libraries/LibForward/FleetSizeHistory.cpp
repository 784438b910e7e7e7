#include "LibForward/FleetSizeHistory.h"

namespace Forward
{
std::size_t widestFleet(fleet_width &width, std::size_t daemons, Core::duration memory, Core::time_point now)
{
    while (!width.sightings.empty() && width.sightings.back().daemons <= daemons) {
        width.sightings.pop_back();
    }
    width.sightings.push_back({now, daemons});
    while (width.sightings.front().at < now - memory) {
        width.sightings.pop_front();
    }
    return width.sightings.front().daemons;
}
} // namespace Forward
