#pragma once

#include "LibMembership/DigestEntry.h"
#include "LibMembership/KeyedBlob.h"
#include "LibMembership/MemberRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Membership
{
/// A gossip message between two daemons: a round's message, an announcement, or a reply.
struct gossip_message {
    std::string sender; ///< The sending VM's name.
    std::uint64_t configurationNumber = 0; ///< The configuration number that the sender has in force.
    std::uint64_t newestNumber =
        0; ///< The highest configuration number of any member; the digest's lags are relative to it.
    std::uint32_t newestEra = 0; ///< The era of `newestNumber`.
    std::vector<digest_entry> digest; ///< The sender and the members whose heartbeat advanced most recently.
    std::vector<member_record> records; ///< Complete records: new ones, and those that the receiver requested.
    std::vector<std::uint32_t> requestedIds; ///< Identifiers of the records that the sender requests.
    std::vector<keyed_blob> blobs;
    /// The message was sent because the sender is active: its digest holds itself and the active members it has heard.
    bool isHeartbeat = false;
};
} // namespace Membership
