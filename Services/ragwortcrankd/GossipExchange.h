#pragma once

#include "LibMembership/KeyedBlob.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

/// The state of other packages that travels between daemons with gossip. A package registers one source for a key
/// prefix at the start; its values must merge by a join, since they arrive late, repeated and in any order. All
/// functions may be called from any thread; the sources' functions run on the gossip or network thread, must not block
/// and must not call back into this class.
class gossip_exchange
{
public:
    /// One package's part.
    struct source {
        std::string prefix; ///< Every key starts with it, as in "warmth/".
        /// Returns the values worth sending now, the most urgent first, at most about `budget` bytes.
        std::function<std::vector<Membership::keyed_blob>(std::size_t budget)> produce;
        /// Merges a value that a peer sent. Malformed values must be ignored.
        std::function<void(const Membership::keyed_blob &blob)> merge;
    };

    void add(source added);
    /// Returns the blobs for one message, of at most `budget` bytes in all, each source getting its turn.
    std::vector<Membership::keyed_blob> produce(std::size_t budget);
    void merge(const std::vector<Membership::keyed_blob> &blobs);

private:
    std::mutex m_mutex;
    std::vector<source> m_sources; ///< Guarded by m_mutex.
    std::size_t m_first = 0; ///< The source that comes first in the next message; guarded by m_mutex.
};
