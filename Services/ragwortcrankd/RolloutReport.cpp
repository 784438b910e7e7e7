#include "LibConfiguration/ServiceSettings.h"
#include "LibRollout/CloseRollout.h"
#include "RolloutShard.h"
#include "RolloutShards.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <mutex>

namespace json = boost::json;

static const char *stateOf(const Configuration::service_settings &service, const rollout_shard &shard,
                           Core::wall_time now)
{
    const Configuration::rollout_settings &rollout = *service.rollout;
    if (rollout.takenBack) {
        return "taken_back";
    }
    if (Rollout::isClosed(service)) {
        return "done";
    }
    if (shard.fleetEvidence.bad) {
        return "bad";
    }
    return now < rollout.start ? "waiting" : "running";
}

/// Returns the counts summed over the whole rollout and all routes.
static json::object encodeCounts(const rollout_shard &shard)
{
    Rollout::route_counts sum;
    for (const auto &[incarnation, daemon] : shard.fleetEvidence.daemons) {
        for (const auto &[route, evidence] : daemon.routes) {
            for (const auto &[window, counts] : evidence.windows.back()) {
                sum.newTotal += counts.newTotal;
                sum.errors.total += counts.errors.total;
                sum.errors.byNewVersion += counts.errors.byNewVersion;
                sum.slow.total += counts.slow.total;
                sum.slow.byNewVersion += counts.slow.byNewVersion;
            }
        }
    }
    return {{"daemons", shard.fleetEvidence.daemons.size()},
            {"new_answers", sum.newTotal},
            {"errors", sum.errors.total},
            {"new_errors", sum.errors.byNewVersion},
            {"slow", sum.slow.total},
            {"new_slow", sum.slow.byNewVersion}};
}

std::optional<std::string> rollout_shards::report(const std::string &name,
                                                  const Configuration::service_settings &service, Core::wall_time now)
{
    if (!service.rollout) {
        return std::nullopt;
    }
    rollout_shard none;
    rollout_shard *found = find(name);
    rollout_shard &shard = found == nullptr ? none : *found;
    const std::scoped_lock lock(shard.mutex);
    const Configuration::rollout_settings &rollout = *service.rollout;
    const bool known = shard.number == rollout.number;
    json::object report {{"service", name},
                         {"number", rollout.number},
                         {"from_version", rollout.fromVersion},
                         {"to_version", rollout.toVersion},
                         {"state", stateOf(service, known ? shard : none, now)},
                         {"new_share", known && !Rollout::isClosed(service) ? shard.share : 0.0}};
    if (service.version == rollout.toVersion) {
        report["new_share"] = 1.0;
    }
    if (known) {
        report["evidence"] = encodeCounts(shard);
    }
    return json::serialize(report);
}
