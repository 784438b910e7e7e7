#pragma once

namespace Forward
{
/// Why a replica's registration is missing.
enum class missing_cause {
    Removed, ///< The store says so.
    Doubted, ///< The store was away or has dropped its history; a replica that lives registers again soon.
};
} // namespace Forward
