#pragma once

namespace Configuration
{
/// The result of a patch as reported to the operator.
enum class patch_result {
    Accepted, ///< The patch produced the reported number, in this attempt or an earlier one.
    Stale, ///< The patch was never applied; the reported number is the current one.
    IdExpired, ///< Not applied now; an earlier attempt may have been, as its id is older than the retained ids.
    Invalid, ///< Not applied; the findings give the reasons.
    NotWritten, ///< The store is unreachable, and nothing was written.
    Unknown, ///< A write was sent, but it could not be determined whether it took effect.
};
} // namespace Configuration
