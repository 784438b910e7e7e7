#pragma once

#include "LibMembership/DigestEntry.h"
#include "LibMembership/KeyedBlob.h"
#include "LibMembership/MemberRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Membership
{
/// One message between two daemons, in either direction.
struct gossip_message {
    std::string sender; ///< The sending VM's name.
    std::uint64_t configurationNumber = 0; ///< The number that the sender has in force.
    std::uint64_t newestNumber = 0; ///< The highest number of any member; the digest's lags count down from it.
    std::vector<digest_entry> digest; ///< Members whose heartbeat advanced lately.
    std::vector<member_record> records; ///< Whole records: new ones, and those that the receiver asked for.
    std::vector<std::uint32_t> wanted; ///< Identifiers whose records the sender lacks.
    std::vector<keyed_blob> blobs;
};
} // namespace Membership
