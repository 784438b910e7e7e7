#pragma once

#include <chrono>
#include <cstddef>

namespace Membership
{
/// The times and sizes of the exchange between daemons. The period grows with the fleet, so that the cost of each
/// daemon stays within its budget; suspicion and death count periods.
struct membership_settings {
    std::chrono::microseconds periodPerMember {3400};
    std::chrono::milliseconds shortestPeriod {300};
    std::chrono::milliseconds longestPeriod {2000};
    int suspectPeriods = 12; ///< Periods without a new heartbeat until a member gets no new callers.
    int deadPeriods = 20; ///< Periods without a new heartbeat until a member owns nothing.
    std::chrono::minutes forgetAfter {150}; ///< Longer than regions are expected to lose each other.
    std::chrono::seconds isolatedAfter {8}; ///< Without the store and any peer for so long, a daemon is isolated.
    std::size_t mostDigestEntries = 260;
    std::size_t blobBudget = 400; ///< Bytes of other packages' state in one message.
    std::size_t mostNewRecords = 48; ///< Whole records in one message that nobody asked for.
    std::size_t mostWantedRecords = 150; ///< Whole records asked for in one message.
    int quickRounds = 10; ///< A new daemon's first rounds, which follow one another in the shortest period.
    std::size_t mostMembers = 4096; ///< Dead members are dropped beyond this.
    int recordSends = 4; ///< Times that a newly learned record is passed on unasked.
    int probePart = 4; ///< Every so many rounds, a member that is not live is tried too.
    int farPart = 1; ///< Every so many rounds the message may go to another data centre; more where bytes are dear.
    int announceFanOut = 3; ///< Peers that hear of a new configuration number at once.
};
} // namespace Membership
