#include "LibFront/ReplicaReport.h"

#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/RequestLimits.h"
#include "LibFront/FrontEnvironment.h"
#include "LibFront/ReplyClass.h"

#include <boost/beast/http/rfc7230.hpp>

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

static bool closesConnection(const reply_message &reply)
{
    return boost::beast::http::token_list(reply[boost::beast::http::field::connection]).exists("close");
}

static void recordShutdown(front_environment &environment, Forward::replica_state &replica, const reply_message &reply,
                           Core::time_point now)
{
    const Forward::replica_table &replicaTable = environment.forward.replicaTable;
    const bool isStated =
        announcesShutdown(reply, environment.names) && Forward::recordShutdownNotice(replicaTable, replica, now);
    const bool isClosing = closesConnection(reply);
    const bool isInferred = isClosing && Forward::recordClosing(replicaTable, replica);
    if (!replica.shuttingDown && !isClosing) {
        replica.stayedAt = now;
    }
    if (isStated || isInferred) {
        environment.log.write("replica_shutting_down",
                              {{"replica", replica.registration.id},
                               {"service", replica.registration.service},
                               {"stated", isStated},
                               {"registered",
                                replica.missing                     ? "missing"
                                    : replica.registration.draining ? "draining"
                                                                    : "ready"}});
    }
}

/// Returns whether the response says that its replica takes no request now.
static bool isRefusalForNow(const reply_message &reply)
{
    return reply.result() == boost::beast::http::status::service_unavailable
        || reply.result() == boost::beast::http::status::too_many_requests;
}

static void recordQuietTime(front_environment &environment, Forward::replica_state &replica, const reply_message &reply,
                            Core::time_point now)
{
    if (!isRefusalForNow(reply)) {
        return;
    }
    const auto stated = reply.equal_range(boost::beast::http::field::retry_after);
    for (auto field = stated.first; field != stated.second; ++field) {
        const std::optional<Core::duration> period = parseRetryAfter(field->value());
        if (!period) {
            environment.log.write(
                "replica_retry_after_unreadable",
                {{"replica", replica.registration.id}, {"text", field->value().substr(0, maximumLoggedText)}});
            continue;
        }
        // Refusals to requests that were sent together extend the time a little; one line for all of them is enough.
        const bool wasQuiet = now < replica.quietUntil;
        if (Forward::recordRetryAfter(environment.forward.replicaTable, replica, *period, now) && !wasQuiet) {
            environment.log.write("replica_quiet",
                                  {{"replica", replica.registration.id},
                                   {"service", replica.registration.service},
                                   {"stated_ms", Core::toMilliseconds(*period)},
                                   {"until_ms", Core::toMilliseconds(replica.quietUntil - now)}});
        }
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
    Forward::replica_state &replica = Forward::replicaAt(environment.forward.replicaTable, key);
    recordStatedLimit(environment, replica, reply, kind, now);
    recordShutdown(environment, replica, reply, now);
    recordQuietTime(environment, replica, reply, now);
}
} // namespace Front
