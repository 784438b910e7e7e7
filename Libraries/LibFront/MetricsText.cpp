#include "LibFront/MetricsText.h"

#include "LibForward/ReplicaTable.h"
#include "LibForward/TrafficConfiguration.h"
#include "LibFront/FrontEnvironment.h"

#include <cstdio>
#include <string_view>

namespace Front
{
static void addCounter(std::string &text, std::string_view name, std::string_view help, std::uint64_t value)
{
    text += "# HELP ragwortcrank_" + std::string(name) + " " + std::string(help) + "\n";
    text += "# TYPE ragwortcrank_" + std::string(name) + " counter\n";
    text += "ragwortcrank_" + std::string(name) + " " + std::to_string(value) + "\n";
}

static void addGauge(std::string &text, std::string_view name, std::string_view help, double value)
{
    char number[32];
    std::snprintf(number, sizeof(number), "%g", value);
    text += "# HELP ragwortcrank_" + std::string(name) + " " + std::string(help) + "\n";
    text += "# TYPE ragwortcrank_" + std::string(name) + " gauge\n";
    text += "ragwortcrank_" + std::string(name) + " " + number + "\n";
}

static void addHistogram(std::string &text, const std::string &name, std::string_view help,
                         const std::map<std::string, latency_counters> &byRoute)
{
    text += "# HELP ragwortcrank_" + name + " " + std::string(help) + "\n";
    text += "# TYPE ragwortcrank_" + name + " histogram\n";
    for (const auto &[route, counters] : byRoute) {
        const std::string label = "{route=\"" + route + "\"";
        std::uint64_t cumulativeCount = 0;
        char number[32];
        for (std::size_t index = 0; index < latency_counters::upperBounds.size(); ++index) {
            cumulativeCount += counters.counts[index];
            std::snprintf(number, sizeof(number), "%g", Core::toSeconds(latency_counters::upperBounds[index]));
            text += "ragwortcrank_" + name + "_bucket" + label + ",le=\"" + number + "\"} "
                + std::to_string(cumulativeCount) + "\n";
        }
        cumulativeCount += counters.counts.back();
        std::snprintf(number, sizeof(number), "%.6f", Core::toSeconds(counters.sum));
        text += "ragwortcrank_" + name + "_bucket" + label + ",le=\"+Inf\"} " + std::to_string(cumulativeCount) + "\n";
        text += "ragwortcrank_" + name + "_sum" + label + "} " + number + "\n";
        text += "ragwortcrank_" + name + "_count" + label + "} " + std::to_string(cumulativeCount) + "\n";
    }
}

template<typename Predicate> static double countReplicas(const Forward::replica_table &replicaTable, Predicate matches)
{
    std::size_t count = 0;
    for (const auto &service : replicaTable.services) {
        for (const Forward::replica_state &replica : service->replicas) {
            count += !replica.removed && matches(replica) ? 1 : 0;
        }
    }
    return static_cast<double>(count);
}

std::string metricsText(const front_environment &environment)
{
    const front_counters &counters = environment.counters;
    std::string text;
    addCounter(text, "requests_total", "Requests that matched a route.", counters.requests);
    addCounter(text, "answered_total", "Requests answered with success.", counters.answered);
    addCounter(text, "answered_late_total", "Of these, beyond the target latency.", counters.answeredLate);
    addCounter(text, "answered_partly_total", "Of these, with shards missing.", counters.answeredPartially);
    addCounter(text, "not_run_total", "Requests refused as not run.", counters.notRun);
    addCounter(text, "failed_total", "Requests that failed after an attempt that may have run.", counters.failed);
    addCounter(text, "timed_out_total", "Requests whose time ran out.", counters.timedOut);
    addCounter(text, "abandoned_total", "Requests whose caller left.", counters.abandoned);
    addCounter(text, "unroutable_total", "Requests without a route.", counters.unroutable);
    addCounter(text, "attempts_total", "Requests sent to replicas.", counters.attempts);
    addCounter(text, "withdrawn_total", "Of these, withdrawn before a connection was available.", counters.withdrawn);
    addCounter(text, "hedges_total", "Second attempts beside a late first one.", counters.hedges);
    addCounter(text, "retries_total", "Attempts after one that failed.", counters.retries);
    addCounter(text, "invalid_responses_total", "Attempts that ended with bytes that are no response.",
               counters.invalidResponses);
    addCounter(text, "replica_connections_total", "Connections opened to replicas.",
               environment.connections.openedCount());
    addCounter(text, "connections_passed_over_total",
               "Idle connections to replicas not used, since they had carried the request before.",
               environment.connections.passedOverCount());
    addCounter(text, "dropped_responses_total", "Responses of replicas dropped because all together were too large.",
               environment.connections.droppedResponseCount());
    addCounter(text, "store_restores_total", "Times that the store was found restored from a copy.",
               counters.storeRestores);
    addCounter(text, "failed_handlers_total", "Event handlers that ended with an exception.", counters.failedHandlers);
    addGauge(text, "configuration_version", "The version in force; 0 if none is known.",
             environment.configuration ? static_cast<double>(environment.configuration->version) : 0.0);
    addGauge(text, "daemons", "Live daemons that share limits, this one included.",
             static_cast<double>(environment.forward.replicaTable.daemons));
    addGauge(text, "limited_replicas", "Replicas that state a limit on their request rate.",
             countReplicas(environment.forward.replicaTable,
                           [](const Forward::replica_state &replica) { return replica.requestLimit.has_value(); }));
    addGauge(text, "replicas_shutting_down", "Registered replicas whose answers say that they shut down.",
             countReplicas(environment.forward.replicaTable,
                           [](const Forward::replica_state &replica) { return replica.shuttingDown; }));
    addGauge(text, "quiet_replicas", "Replicas that have asked this daemon to send nothing for a while.",
             countReplicas(environment.forward.replicaTable,
                           [now = std::chrono::steady_clock::now()](const Forward::replica_state &replica) {
                               return now < replica.quietUntil;
                           }));
    addHistogram(text, "request_seconds", "From a request's arrival to its answer.", counters.answerTimes);
    addHistogram(text, "attempt_seconds", "From sending to a replica to its good answer.", counters.attemptTimes);
    return text;
}
} // namespace Front
