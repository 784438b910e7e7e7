#include "StandIns/AnswerCheck.h"

#include "StandIns/ExpectedItems.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <set>

namespace StandIns
{
bool answerIsRight(const boost::json::object &answer, const std::string &query)
{
    constexpr std::size_t itemsPerShard = 3;
    constexpr std::size_t maximumResultItems = 100;
    std::set<std::string> seen;
    std::set<std::string> shards;
    const std::string snapshot(answer.at("snapshot").as_string());
    for (const boost::json::value &item : answer.at("results").as_array()) {
        const std::string id(item.at("id").as_string());
        const std::size_t shardStart = id.find('/') + 1;
        const std::string shard = id.substr(shardStart, id.find('/', shardStart) - shardStart);
        const auto expected = expectedItems(snapshot, shard, query);
        const bool known = std::any_of(expected.begin(), expected.end(), [&](const Query::result_item &candidate) {
            return candidate.id == id && candidate.score == item.at("score").to_number<double>();
        });
        if (!known || !seen.insert(id).second) {
            return false;
        }
        shards.insert(shard);
    }
    const auto answered = answer.at("shards_answered").to_number<std::size_t>();
    if (answered * itemsPerShard <= maximumResultItems && shards.size() != answered) {
        return false;
    }
    return seen.size() == std::min(answered * itemsPerShard, maximumResultItems);
}
} // namespace StandIns
