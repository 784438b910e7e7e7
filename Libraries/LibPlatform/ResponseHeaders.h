#pragma once

namespace Platform
{
/// Whether a call's response headers are kept, which costs several allocations per call. Their names are checked
/// anyway.
enum class response_headers {
    Kept,
    Dropped,
};
} // namespace Platform
