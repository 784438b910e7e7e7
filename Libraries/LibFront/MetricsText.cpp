#include "LibFront/MetricsText.h"

#include "LibForward/ReplicaBook.h"
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

static void addHistogram(std::string &text, const std::string &route, const Forward::latency_histogram &histogram)
{
    std::uint64_t below = 0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        below += histogram.counts[bucket];
        if (histogram.counts[bucket] == 0) {
            continue; // Empty buckets say nothing that their neighbours do not.
        }
        char line[160];
        std::snprintf(line, sizeof(line), "ragwortcrank_attempt_seconds_bucket{route=\"%s\",le=\"%g\"} %llu\n",
                      route.c_str(), Core::toSeconds(Forward::upperEdge(bucket)),
                      static_cast<unsigned long long>(below));
        text += line;
    }
    text += "ragwortcrank_attempt_seconds_bucket{route=\"" + route + "\",le=\"+Inf\"} " + std::to_string(below) + "\n";
    text += "ragwortcrank_attempt_seconds_count{route=\"" + route + "\"} " + std::to_string(below) + "\n";
}

std::string metricsText(const front_environment &environment)
{
    const front_counters &counters = environment.counters;
    std::string text;
    addCounter(text, "requests_total", "Requests that matched a route.", counters.requests);
    addCounter(text, "answered_total", "Requests answered with success.", counters.answered);
    addCounter(text, "answered_late_total", "Of these, beyond the target latency.", counters.answeredLate);
    addCounter(text, "answered_partly_total", "Of these, with shards missing.", counters.answeredPartly);
    addCounter(text, "not_run_total", "Requests refused as not run.", counters.notRun);
    addCounter(text, "failed_total", "Requests that failed after an attempt that may have run.", counters.failed);
    addCounter(text, "timed_out_total", "Requests whose time ran out.", counters.timedOut);
    addCounter(text, "abandoned_total", "Requests whose caller left.", counters.abandoned);
    addCounter(text, "unroutable_total", "Requests without a route.", counters.unroutable);
    addCounter(text, "attempts_total", "Requests sent to replicas.", counters.attempts);
    addCounter(text, "hedges_total", "Second attempts beside a late first one.", counters.hedges);
    addCounter(text, "retries_total", "Attempts after one that failed.", counters.retries);
    addCounter(text, "replica_connections_total", "Connections opened to replicas.", environment.connections.opened());
    addGauge(text, "configuration_version", "The version in force; 0 if none is known.",
             environment.configuration ? static_cast<double>(environment.configuration->version) : 0.0);
    addGauge(text, "daemons", "Live daemons that share limits, this one included.",
             static_cast<double>(environment.forward.book.daemons));
    text += "# HELP ragwortcrank_attempt_seconds Recent answer times of first attempts; old ones fade.\n";
    text += "# TYPE ragwortcrank_attempt_seconds histogram\n";
    for (const auto &[route, histogram] : environment.forward.routeLatencies) {
        addHistogram(text, route, histogram);
    }
    return text;
}
} // namespace Front
