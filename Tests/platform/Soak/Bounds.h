#pragma once

#include <chrono>
#include <cstdint>

/// The figures of the platform's rules that the soak checks, as its settings state them.
namespace Soak
{
using namespace std::chrono_literals;

inline constexpr std::chrono::milliseconds stability {4000}; ///< After trouble, until bounds in time hold again.
inline constexpr std::chrono::milliseconds drainTime {3000};
inline constexpr std::chrono::milliseconds configurationTime {3000};
inline constexpr std::chrono::milliseconds evacuationTime {5000};
inline constexpr std::chrono::seconds stopGrace {6};
inline constexpr std::chrono::seconds recoveryTime {12};
inline constexpr std::chrono::milliseconds answerSlack {500}; ///< A final answer comes by the timeout and this.
inline constexpr double repeatRatio = 0.2;
inline constexpr std::chrono::seconds repeatWindow {10};
inline constexpr double repeatSlack = 58.0;
inline constexpr std::chrono::seconds limitWindow {4};
inline constexpr double limitOvershoot = 1.5; ///< Tolerated multiple of a replica's stated request limit.
inline constexpr double limitSlack = 5.0; ///< Requests tolerated beyond that in a window.
inline constexpr double servedInCalm = 0.99; ///< Of the requests in a calm time after recovery.
} // namespace Soak
