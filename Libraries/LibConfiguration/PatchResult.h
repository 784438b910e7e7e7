#pragma once

namespace Configuration
{
/// What the operator is told of a patch.
enum class patch_result {
    Accepted, ///< The patch made the named number, now or at an earlier send.
    Stale, ///< The patch was never applied; the named number is the current one.
    Forgotten, ///< Not applied now, but an earlier send may have been: its id is older than the kept ones.
    Invalid, ///< Not applied; the findings say why.
    NotWritten, ///< The store cannot be reached, and certainly nothing was written.
    Unknown, ///< A write was sent, and whether it took effect could not be found out.
};
} // namespace Configuration
