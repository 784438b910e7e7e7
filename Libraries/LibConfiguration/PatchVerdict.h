#pragma once

namespace Configuration
{
/// The result of applying a patch to one document.
enum class patch_verdict {
    Applied, ///< The next document is ready to be written to the store.
    AlreadyApplied, ///< The document already contains this patch; nothing to write.
    StaleNumber, ///< The document's number differs from the patch's base; the patch was never applied.
    IdExpired, ///< The id is older than the retained ids, so an earlier attempt may have been applied.
    Invalid, ///< The patch or the resulting document is invalid.
};
} // namespace Configuration
