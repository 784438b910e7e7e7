#pragma once

namespace Configuration
{
/// What is known of one conditional write to the store.
enum class write_outcome {
    Written,
    Conflict, ///< The store holds another version, so this write did not take effect.
    NotSent, ///< No byte left for the store, or the store refused the request as such.
    NoReply, ///< The write may have taken effect, or may still do so.
};
} // namespace Configuration
