#pragma once

#include "LibConfiguration/PatchStep.h"
#include "LibConfiguration/WriteOutcome.h"

#include <string_view>

namespace Configuration
{
struct patch_request;
struct patch_transaction;

/// Begins a transaction; the first step is a read. A transaction may pause between any two steps for any time: its
/// writes depend on the tag that it read, so a late one conflicts.
[[nodiscard]] patch_step startTransaction(patch_transaction &transaction, patch_request request);

/// The stored document was read. `text` and `tag` are empty if there is none yet.
[[nodiscard]] patch_step onRead(patch_transaction &transaction, std::string_view text, std::string_view tag);

/// The stored document could not be read.
[[nodiscard]] patch_step onReadFailed(patch_transaction &transaction);

/// The write ended. A write without a reply is resolved by reading the document back.
[[nodiscard]] patch_step onWritten(patch_transaction &transaction, write_outcome outcome);
} // namespace Configuration
