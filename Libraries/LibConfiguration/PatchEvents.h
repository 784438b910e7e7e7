#pragma once

#include "LibConfiguration/PatchStep.h"
#include "LibConfiguration/WriteOutcome.h"

#include <string_view>

namespace Configuration
{
struct patch_request;
struct patch_transaction;

/// Begins a transaction; the first step is a read. Any amount of time may pass between two steps: each write is
/// conditional on the tag that was read, so a delayed write conflicts.
[[nodiscard]] patch_step startTransaction(patch_transaction &transaction, patch_request request);

/// Handles a successful read of the stored document. `text` and `tag` are empty if no document exists yet.
[[nodiscard]] patch_step onRead(patch_transaction &transaction, std::string_view text, std::string_view tag);

/// Handles a failed read of the stored document.
[[nodiscard]] patch_step onReadFailed(patch_transaction &transaction);

/// Handles the end of a write. A write without a reply is resolved by reading the document back.
[[nodiscard]] patch_step onWritten(patch_transaction &transaction, write_outcome outcome);
} // namespace Configuration
