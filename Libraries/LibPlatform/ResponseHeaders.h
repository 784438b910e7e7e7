#pragma once

namespace Platform
{
/// Whether a call's response headers are kept; parsing them costs several allocations per call.
enum class response_headers {
    Kept,
    Dropped,
};
} // namespace Platform
