#include "LibFront/ReplicaReport.h"

#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestLimits.h"
#include "LibFront/FrontEnvironment.h"
#include "LibFront/ReplyClass.h"

namespace Front
{
static constexpr std::size_t maximumLoggedText = 32; ///< Characters of a field that cannot be read.

static void logRequestLimit(front_environment &environment, const Forward::replica_state &replica,
                            const std::optional<Forward::request_limit> &before, Core::time_point now)
{
    boost::json::object fields {
        {"replica", replica.registration.id},
        {"service", replica.registration.service},
        {"limit", nullptr},
        {"before", nullptr},
    };
    if (replica.requestLimit) {
        fields["limit"] = replica.requestLimit->perSecond;
        fields["own_share"] = replica.requestLimit->ownRate;
    }
    if (before) {
        fields["before"] = before->perSecond;
        fields["attempts"] = before->attempts;
        fields["stated_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - before->since).count();
    }
    environment.log.write("replica_limit", std::move(fields));
}

static void recordStatedLimit(front_environment &environment, Forward::replica_state &replica,
                              const reply_message &reply, reply_class kind, Core::time_point now)
{
    const std::string_view text = reply[environment.names.requestLimit];
    const bool isStated = reply.count(environment.names.requestLimit) > 0;
    if (!isStated && kind != reply_class::Success) {
        return; // Only an answer shows that the replica needs no limit any more.
    }
    const std::optional<double> stated = isStated ? parseRequestLimit(text) : std::nullopt;
    if (isStated && !stated) {
        environment.log.write("replica_limit_unreadable",
                              {{"replica", replica.registration.id}, {"text", text.substr(0, maximumLoggedText)}});
        return;
    }
    const std::optional<Forward::request_limit> before = replica.requestLimit;
    if (Forward::recordRequestLimit(environment.forward.replicaTable, replica, stated, now)) {
        logRequestLimit(environment, replica, before, now);
    }
}

void recordReplicaReport(front_environment &environment, const Forward::replica_key &key, const reply_message &reply,
                         reply_class kind, Core::time_point now)
{
    if (kind == reply_class::OtherInstance || kind == reply_class::Malformed) {
        return;
    }
    if (const auto load = parseLoad(reply[environment.names.load], now)) {
        Forward::recordLoad(environment.forward.replicaTable, key, *load);
    }
    recordStatedLimit(environment, Forward::replicaAt(environment.forward.replicaTable, key), reply, kind, now);
}
} // namespace Front
