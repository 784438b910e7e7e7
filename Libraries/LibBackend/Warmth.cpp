#include "LibBackend/Warmth.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibCore/Verify.h"

#include <algorithm>

namespace Backend
{
/// Number of responses not reported as cold that advance a replica to the next slow-start level.
static constexpr std::uint32_t answersPerLevel = 8;
/// Minimum duration of a level, so that the load of the daemons that it admits affects the measured latencies.
static constexpr std::chrono::milliseconds levelDuration {500};
/// Responses do not count if their mean latency exceeds this multiple of that of warm replicas with a free slot.
static constexpr double slowFactor = 1.5;

warmth_record joinWarmth(const warmth_record &left, const warmth_record &right)
{
    VERIFY(left.replica == right.replica);
    return std::max(left, right);
}

std::vector<warmth_record> exportWarmth(const service_state &service, Core::time_point changedAfter)
{
    std::vector<warmth_record> records;
    for (const replica_state &replica : service.replicas) {
        const bool known = !replica.warmth.incarnation.empty() || replica.warmth.configuration > 0;
        if (!replica.removed && known && replica.warmthChangedAt > changedAfter) {
            records.push_back(replica.warmth);
        }
    }
    return records;
}

static void forgetEvidence(replica_state &replica)
{
    replica.warmAnswers = 0;
    replica.warmAnswerTime = {};
}

static void setWarmth(replica_state &replica, warmth_record record, Core::time_point now)
{
    replica.warmth = std::move(record);
    forgetEvidence(replica);
    replica.warmthChangedAt = now;
}

static void turnCold(replica_state &replica, const std::string &incarnation, Core::time_point now)
{
    warmth_record record = replica.warmth;
    ++record.generation;
    record.incarnation = incarnation;
    record.level = 0;
    setWarmth(replica, std::move(record), now);
}

/// Returns whether this daemon has a report from the replica itself but no generation to compare with a peer's record,
/// and the record describes another process. In this case the daemon's own report is taken as the newer one.
static bool isFirstHeard(const warmth_record &own, const warmth_record &record)
{
    const bool comparable = own.configuration != 0 && own.configuration != record.configuration;
    const bool heard = own.generation == 0 && own.level == 0 && !own.incarnation.empty();
    return heard && !comparable && record.incarnation != own.incarnation && record.level > 0;
}

static void importRecord(replica_state &replica, const warmth_record &record, Core::time_point now)
{
    const warmth_record &own = replica.warmth;
    if (isFirstHeard(own, record)) {
        const std::string heard = own.incarnation;
        replica.warmth = joinWarmth(own, record);
        turnCold(replica, heard, now);
        return;
    }
    warmth_record joined = joinWarmth(own, record);
    if (joined != own) {
        replica.reportedLeaving = replica.reportedLeaving && joined.incarnation == own.incarnation;
        setWarmth(replica, std::move(joined), now);
    }
}

void importWarmth(service_state &service, const std::vector<warmth_record> &records, Core::time_point now)
{
    for (const warmth_record &record : records) {
        const auto found = service.byName.find(record.replica);
        if (found != service.byName.end() && record.level <= warmestLevel) {
            importRecord(service.replicas[found->second], record, now);
        }
    }
}

void restartWarmth(replica_state &replica, std::uint64_t configuration, Core::time_point now)
{
    if (replica.warmth.configuration < configuration) {
        setWarmth(replica, {replica.name, configuration, 0, {}, 0}, now);
    }
}

void observeReport(replica_state &replica, const replica_report &report, Core::time_point now)
{
    if (report.incarnation.empty()) {
        replica.reportedLeaving = replica.reportedLeaving || report.leaving;
        return;
    }
    const bool restarted = replica.warmth.incarnation != report.incarnation;
    if (restarted && replica.warmth.incarnation.empty()) {
        replica.warmth.incarnation = report.incarnation;
        replica.warmthChangedAt = now;
    } else if (restarted || (report.cold && replica.warmth.level > 0)) {
        turnCold(replica, report.incarnation, now);
    }
    if (report.cold) {
        forgetEvidence(replica);
    }
    // A leaving process never accepts requests again; only a process that replaces it does.
    replica.reportedLeaving = report.leaving || (replica.reportedLeaving && !restarted);
}

void observeWarmAnswer(service_state &service, replica_state &replica, Core::duration latency, Core::time_point now)
{
    if (replica.warmth.level >= warmestLevel || !mayWarm(service, replica, now)) {
        return;
    }
    ++replica.warmAnswers;
    replica.warmAnswerTime += latency;
    if (replica.warmAnswers < answersPerLevel || now - replica.warmthChangedAt < levelDuration) {
        return;
    }
    const Core::real_seconds usual = service.unloadedLatency;
    if (usual > Core::real_seconds::zero() && replica.warmAnswerTime > usual * slowFactor * replica.warmAnswers) {
        forgetEvidence(replica);
    } else {
        warmth_record next = replica.warmth;
        ++next.level;
        setWarmth(replica, std::move(next), now);
    }
}

void observeOvertaken(const service_state &service, replica_state &replica, Core::duration elapsed)
{
    if (elapsed > service.unloadedLatency) {
        forgetEvidence(replica);
    }
}

bool hasColdRoom(const service_state &service, const replica_state &replica, Core::time_point now)
{
    const std::uint32_t level = replica.warmth.level;
    if (level >= warmestLevel) {
        return true;
    }
    if (level == 0) {
        return mayWarm(service, replica, now) && replica.inFlight < service.coldSlots;
    }
    if (!service.ownershipKnown || replica.warmerRank == 0) {
        return replica.inFlight < service.slotsPerReplica;
    }
    // Level 1 admits the daemon with rank 1, level 2 every daemon with a rank, as a rule those in the replica's data
    // centre.
    const bool letIn = replica.warmerRank != replica_state::noRank && (level >= 2 || replica.warmerRank == 1);
    return letIn && replica.inFlight < service.coldSlots;
}
} // namespace Backend
