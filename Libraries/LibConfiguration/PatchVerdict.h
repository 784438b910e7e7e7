#pragma once

namespace Configuration
{
/// What became of a patch against one document.
enum class patch_verdict {
    Applied, ///< The next document is ready to be written.
    AlreadyApplied, ///< The document already contains this patch; nothing to write.
    StaleNumber, ///< The document has another number than the patch was made for; the patch was never applied.
    Forgotten, ///< The id is older than the ids kept in the document, so an earlier send may have been applied.
    Invalid, ///< The patch or the document that it makes is not valid.
};
} // namespace Configuration
