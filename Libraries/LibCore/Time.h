#pragma once

#include <chrono>

/// Time types shared by every package. Decision packages receive times as arguments and never read a clock.
namespace Core
{
/// A point on the monotonic clock of one process, or on the virtual clock of a test.
using time_point = std::chrono::steady_clock::time_point;
/// A point in civil time, comparable between VMs as far as their clocks agree.
using wall_time = std::chrono::system_clock::time_point;
/// The resolution that every duration in the decision packages is kept in.
using duration = std::chrono::nanoseconds;
/// A duration as a real number, for means and decaying maxima that must not lose parts of a nanosecond.
using real_seconds = std::chrono::duration<double>;

/// Converts any duration to milliseconds as a real number, for reports and metrics.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double toMilliseconds(std::chrono::duration<Rep, Period> value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Converts any duration to seconds as a real number, for rates.
template<typename Rep, typename Period>
[[nodiscard]] constexpr double toSeconds(std::chrono::duration<Rep, Period> value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts a real number of seconds to a duration.
[[nodiscard]] constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}
} // namespace Core
