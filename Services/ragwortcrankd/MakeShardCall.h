#pragma once

#include <cstddef>
#include <string>

namespace Platform
{
struct shard_call;
}

struct running_query;

/// Returns the call with the fields that all requests for one shard of the query have in common. The caller of this
/// function adds the attempt id and the time remaining.
[[nodiscard]] Platform::shard_call makeShardCall(const running_query &running, std::size_t shard, std::string address);
