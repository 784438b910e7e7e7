#pragma once

#include <chrono>
#include <cstdint>

/// Time types shared by all libraries. Libraries that make decisions receive times as arguments and never read a clock.
namespace Core
{
/// A point on the monotonic clock of one process, or on the virtual clock of a test.
using time_point = std::chrono::steady_clock::time_point;
/// A point in wall-clock time. Comparable between VMs up to the skew of their clocks.
using wall_time = std::chrono::system_clock::time_point;
/// The duration type of all libraries that make decisions; its resolution is one nanosecond.
using duration = std::chrono::nanoseconds;
/// A floating-point duration for means and decaying maxima, which need a resolution finer than one nanosecond.
using real_seconds = std::chrono::duration<double>;

/// Converts any duration to floating-point milliseconds, for reports and metrics.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double toMilliseconds(std::chrono::duration<Rep, Period> value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Converts any duration to floating-point seconds, for rates.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double toSeconds(std::chrono::duration<Rep, Period> value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts floating-point seconds to a duration. More than a century, in either direction, becomes a century, and not
/// a number becomes zero, so that the result can be added to any time point.
[[nodiscard]] constexpr duration fromSeconds(double seconds)
{
    constexpr double century = 100.0 * 365 * 24 * 3600;
    if (!(seconds >= -century)) {
        return seconds < 0.0 ? duration(std::chrono::seconds(static_cast<std::int64_t>(-century))) : duration {};
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds > century ? century : seconds));
}
} // namespace Core
