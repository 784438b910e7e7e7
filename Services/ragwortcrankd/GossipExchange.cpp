#include "GossipExchange.h"

#include <utility>

void gossip_exchange::add(source added)
{
    const std::scoped_lock lock(m_mutex);
    m_sources.push_back(std::move(added));
}

std::vector<Membership::keyed_blob> gossip_exchange::produce(std::size_t budget)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Membership::keyed_blob> blobs;
    const std::size_t count = m_sources.size();
    for (std::size_t offset = 0; offset < count; ++offset) {
        // Budget left over by earlier sources is divided among the remaining ones.
        const std::size_t share = budget / (count - offset);
        for (Membership::keyed_blob &blob : m_sources[(m_first + offset) % count].produce(share)) {
            const std::size_t bytes = blob.key.size() + blob.value.size();
            if (bytes <= budget) {
                budget -= bytes;
                blobs.push_back(std::move(blob));
            }
        }
    }
    m_first = count == 0 ? 0 : (m_first + 1) % count;
    return blobs;
}

void gossip_exchange::merge(const std::vector<Membership::keyed_blob> &blobs)
{
    const std::scoped_lock lock(m_mutex);
    for (const Membership::keyed_blob &blob : blobs) {
        for (const source &candidate : m_sources) {
            if (blob.key.starts_with(candidate.prefix)) {
                candidate.merge(blob);
            }
        }
    }
}
