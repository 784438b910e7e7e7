#pragma once

#include "LibMembership/KeyedBlob.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// Exchanges state of other packages between daemons, piggybacked on gossip messages. At start-up, each package
/// registers one source for a key prefix. Its values must merge as a join (commutative, associative and idempotent),
/// since they arrive late, repeatedly and in any order. Thread-safe; the functions of the sources run on the gossip or
/// network thread, must not block and must not call back into this class.
class gossip_exchange
{
public:
    /// The state of one package.
    struct source {
        std::string prefix; ///< Prefix of all its keys, as in "warmth/".
        /// Returns the values to send now, most urgent first, about `budget` bytes at most.
        std::function<std::vector<Membership::keyed_blob>(std::size_t budget)> produce;
        /// Merges a value sent by a peer. Malformed values must be ignored.
        std::function<void(const Membership::keyed_blob &blob)> merge;
    };

    void add(source added);
    /// Returns the blobs for one message, `budget` bytes at most in total. The source that comes first rotates.
    std::vector<Membership::keyed_blob> produce(std::size_t budget);
    void merge(const std::vector<Membership::keyed_blob> &blobs);

private:
    std::mutex m_mutex;
    std::vector<source> m_sources; ///< Guarded by m_mutex.
    std::size_t m_first = 0; ///< Index of the source that comes first in the next message; guarded by m_mutex.
};
