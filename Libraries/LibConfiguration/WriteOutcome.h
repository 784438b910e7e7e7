#pragma once

namespace Configuration
{
/// The observed outcome of one conditional write to the store.
enum class write_outcome {
    Written,
    Conflict, ///< The store holds a different version, so the write did not take effect.
    NotSent, ///< No byte was sent, or the store rejected the request itself.
    NoReply, ///< The write may have taken effect, or may still take effect.
};
} // namespace Configuration
