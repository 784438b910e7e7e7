#pragma once

#include "LibConfiguration/ConfigurationDocument.h"

#include <cstdint>

namespace Bench
{
/// Makes a document with one service "search" of equal shards "s0", "s1" and so on, with replicas "s0-r0" and so on in
/// the data centres "dc0", "dc1", "dc2" in turn, and one snapshot "snapshot-1".
[[nodiscard]] Configuration::configuration_document makeDocument(std::size_t shards, std::size_t replicasPerShard,
                                                                 std::uint32_t slots);
} // namespace Bench
