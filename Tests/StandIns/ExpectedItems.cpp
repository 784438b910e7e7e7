#include "StandIns/ExpectedItems.h"

#include <boost/container_hash/hash.hpp>

namespace StandIns
{
std::vector<Query::result_item> expectedItems(const std::string &snapshot, const std::string &shard,
                                              const std::string &query)
{
    constexpr int itemsPerShard = 3;
    constexpr std::size_t scoreSteps = 100'000;
    std::vector<Query::result_item> items;
    for (int index = 0; index < itemsPerShard; ++index) {
        std::string id = snapshot;
        id.append("/").append(shard).append("/").append(query).append("/").append(std::to_string(index));
        const std::size_t hash = boost::hash<std::string>()(id);
        items.push_back({std::move(id), static_cast<double>(hash % scoreSteps)});
    }
    return items;
}
} // namespace StandIns
