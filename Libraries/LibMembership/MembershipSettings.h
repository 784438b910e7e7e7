#pragma once

#include <chrono>
#include <cstddef>

namespace Membership
{
/// Parameters of the gossip protocol. The gossip period grows with the fleet, so that the network traffic of each
/// daemon stays within its budget. The thresholds for suspected and dead members are counted in periods.
struct membership_settings {
    std::chrono::microseconds periodPerMember {3400};
    std::chrono::milliseconds minimumPeriod {300};
    std::chrono::milliseconds maximumPeriod {2000};
    int suspectPeriods = 12; ///< Periods without a new heartbeat after which a member is suspected.
    int deadPeriods = 20; ///< Periods without a new heartbeat after which a member is dead.
    std::chrono::minutes deadMemberRetention {150}; ///< Longer than the longest expected partition between regions.
    std::chrono::seconds isolationTimeout {
        8}; ///< Time without contact to the store or a peer until a daemon is isolated.
    std::size_t maximumDigestEntries = 260;
    std::size_t blobBudget = 400; ///< Bytes of other libraries' state in one message.
    std::size_t maximumUnsolicitedRecords = 48; ///< Records in one message that were not requested.
    std::size_t maximumRequestedRecords = 150; ///< Records requested or sent on request in one message.
    int startupRounds = 10; ///< Number of first rounds that a new daemon runs at the shortest period.
    std::size_t maximumMembers = 4096; ///< Table size beyond which dead members are removed early.
    int recordTransmissions = 4; ///< Number of messages that carry a newly received record without a request.
    int roundsPerProbe = 4; ///< Rounds between probes of a member that is not live.
    int roundsPerRemoteMessage =
        1; ///< Rounds between messages that may go to another data centre; raise it where traffic is costly.
    /// Members of each data centre that callers are directed to while none of them is overloaded; 0: all members.
    std::size_t minimumActiveMembers = 0;
    std::chrono::milliseconds heartbeatInterval {500}; ///< Between two heartbeat messages of an active member.
    /// Time after which an active member without heartbeats is replaced; some heartbeats may be lost.
    std::chrono::milliseconds heartbeatTimeout {2200};
    int announcementFanOut = 3; ///< Peers that are notified immediately of a new configuration number.
};
} // namespace Membership
