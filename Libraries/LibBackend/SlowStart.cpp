#include "LibBackend/SlowStart.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibCore/Verify.h"

#include <algorithm>

namespace Backend
{
/// Number of responses not reported as cold that advance a replica to the next slow-start level.
static constexpr std::uint32_t responsesPerLevel = 8;
/// Minimum duration of a level, so that the load of the daemons that it admits affects the measured latencies.
static constexpr std::chrono::milliseconds levelDuration {500};
/// Responses do not count if their mean latency exceeds this multiple of that of warm replicas with a free slot.
static constexpr double slowFactor = 1.5;

slow_start_record joinSlowStart(const slow_start_record &left, const slow_start_record &right)
{
    VERIFY(left.replica == right.replica);
    return std::max(left, right);
}

std::vector<slow_start_record> exportSlowStart(const service_state &service, Core::time_point changedAfter)
{
    std::vector<slow_start_record> records;
    for (const replica_state &replica : service.replicas) {
        const bool hasProgress = !replica.slowStart.incarnation.empty() || replica.slowStart.configuration > 0;
        if (!replica.removed && hasProgress && replica.slowStartChangedAt > changedAfter) {
            records.push_back(replica.slowStart);
        }
    }
    return records;
}

static void resetWarmResponses(replica_state &replica)
{
    replica.warmResponses = 0;
    replica.warmResponseTime = {};
}

static void setSlowStart(replica_state &replica, slow_start_record record, Core::time_point now)
{
    replica.slowStart = std::move(record);
    resetWarmResponses(replica);
    replica.slowStartChangedAt = now;
}

static void beginSlowStart(replica_state &replica, const std::string &incarnation, Core::time_point now)
{
    slow_start_record record = replica.slowStart;
    ++record.generation;
    record.incarnation = incarnation;
    record.level = 0;
    setSlowStart(replica, std::move(record), now);
}

/// Returns whether this daemon has a report from the replica itself but no generation to compare with a peer's record,
/// and the record describes another process. In this case the daemon's own report is taken as the newer one.
static bool isFirstReport(const slow_start_record &own, const slow_start_record &record)
{
    const bool comparable = own.configuration != 0 && own.configuration != record.configuration;
    const bool reported = own.generation == 0 && own.level == 0 && !own.incarnation.empty();
    return reported && !comparable && record.incarnation != own.incarnation && record.level > 0;
}

static void importRecord(replica_state &replica, const slow_start_record &record, Core::time_point now)
{
    const slow_start_record &own = replica.slowStart;
    if (isFirstReport(own, record)) {
        const std::string reported = own.incarnation;
        replica.slowStart = joinSlowStart(own, record);
        beginSlowStart(replica, reported, now);
        return;
    }
    slow_start_record joined = joinSlowStart(own, record);
    if (joined != own) {
        replica.reportedLeaving = replica.reportedLeaving && joined.incarnation == own.incarnation;
        setSlowStart(replica, std::move(joined), now);
    }
}

void importSlowStart(service_state &service, const std::vector<slow_start_record> &records, Core::time_point now)
{
    for (const slow_start_record &record : records) {
        const auto found = service.byName.find(record.replica);
        if (found != service.byName.end() && record.level <= completedSlowStartLevel) {
            importRecord(service.replicas[found->second], record, now);
        }
    }
}

void restartSlowStart(replica_state &replica, std::uint64_t configuration, Core::time_point now)
{
    if (replica.slowStart.configuration < configuration) {
        setSlowStart(replica, {replica.name, configuration, 0, {}, 0}, now);
    }
}

void applyReport(replica_state &replica, const replica_report &report, Core::time_point now)
{
    if (report.incarnation.empty()) {
        replica.reportedLeaving = replica.reportedLeaving || report.leaving;
        return;
    }
    const bool restarted = replica.slowStart.incarnation != report.incarnation;
    if (restarted && replica.slowStart.incarnation.empty()) {
        replica.slowStart.incarnation = report.incarnation;
        replica.slowStartChangedAt = now;
    } else if (restarted || (report.cold && replica.slowStart.level > 0)) {
        beginSlowStart(replica, report.incarnation, now);
    }
    if (report.cold) {
        resetWarmResponses(replica);
    }
    // A leaving process never accepts requests again; only a process that replaces it does.
    replica.reportedLeaving = report.leaving || (replica.reportedLeaving && !restarted);
}

void recordSlowStartResponse(service_state &service, replica_state &replica, Core::duration latency,
                             Core::time_point now)
{
    if (replica.slowStart.level >= completedSlowStartLevel || !mayRunSlowStart(service, replica, now)) {
        return;
    }
    ++replica.warmResponses;
    replica.warmResponseTime += latency;
    if (replica.warmResponses < responsesPerLevel || now - replica.slowStartChangedAt < levelDuration) {
        return;
    }
    const Core::real_seconds typicalLatency = service.unloadedLatency;
    if (typicalLatency > Core::real_seconds::zero()
        && replica.warmResponseTime > typicalLatency * slowFactor * replica.warmResponses) {
        resetWarmResponses(replica);
    } else {
        slow_start_record next = replica.slowStart;
        ++next.level;
        setSlowStart(replica, std::move(next), now);
    }
}

void discardOvertakenResponses(const service_state &service, replica_state &replica, Core::duration elapsed)
{
    if (elapsed > service.unloadedLatency) {
        resetWarmResponses(replica);
    }
}

bool hasSlowStartCapacity(const service_state &service, const replica_state &replica, Core::time_point now)
{
    const std::uint32_t level = replica.slowStart.level;
    if (level >= completedSlowStartLevel) {
        return true;
    }
    if (level == 0) {
        return mayRunSlowStart(service, replica, now) && replica.inFlight < service.coldSlots;
    }
    if (!service.hasOwnershipView || replica.slowStartRank == 0) {
        return replica.inFlight < service.slotsPerReplica;
    }
    // Level 1 admits the daemon with rank 1, level 2 every daemon with a rank, as a rule those in the replica's data
    // centre.
    const bool isAdmitted =
        replica.slowStartRank != replica_state::noRank && (level >= 2 || replica.slowStartRank == 1);
    return isAdmitted && replica.inFlight < service.coldSlots;
}
} // namespace Backend
