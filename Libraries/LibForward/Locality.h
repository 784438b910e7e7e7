#pragma once

namespace Forward
{
/// How far a replica is from this daemon.
enum class locality {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};
} // namespace Forward
