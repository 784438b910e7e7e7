#pragma once

#include <cstddef>
#include <string>

namespace Platform
{
struct shard_call;
}

struct running_query;

/// What every request for one shard of the query carries. The caller adds the attempt's id and its time.
[[nodiscard]] Platform::shard_call makeShardCall(const running_query &running, std::size_t shard, std::string address);
