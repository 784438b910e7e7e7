#pragma once

#include "LibConfiguration/ConfigurationDocument.h"

#include <cstddef>

namespace Bench
{
/// Makes a valid document with `replicas` replicas over `shards` shards in 2 regions and 4 data centres, two versions
/// in a rollout, 40 teams, and as many patch ids as a document keeps.
[[nodiscard]] Configuration::configuration_document targetSizeDocument(std::size_t replicas, std::size_t shards);
} // namespace Bench
