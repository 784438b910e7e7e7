#pragma once

namespace Bench
{
/// When it goes wrong.
enum class fault_time {
    AtOnce,
    Late, ///< From six tenths of the time on.
    UnderLoad, ///< While the load is doubled, from four to eight tenths of the time.
    OneRoute, ///< At once, on the route that has a fifth of the queries.
};
} // namespace Bench
