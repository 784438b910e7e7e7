#pragma once

#include <cstddef>

namespace Configuration
{
/// The largest document in bytes; the platform's store holds values up to a megabyte.
constexpr std::size_t mostDocumentBytes = 1'000'000;
/// Patch ids kept in a document. At 2,100 changes a day, 512 reach almost 6 hours back.
constexpr std::size_t mostRecentPatchIds = 512;
/// The longest name of a service, route, team, data centre, region, snapshot, shard, replica or version.
constexpr std::size_t mostNameCharacters = 128;
} // namespace Configuration
