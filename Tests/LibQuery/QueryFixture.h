#pragma once

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"

#include <gtest/gtest.h>

#include <string>

/// A query over shards "s0", "s1" and so on with three replicas each, in virtual time.
struct query_fixture : testing::Test {
    Core::time_point now {std::chrono::hours(1)};
    Core::random_engine random {1};
    Backend::service_state service;
    Query::query_state query;

    void prepare(std::size_t shards)
    {
        Configuration::configuration_document document;
        document.number = 1;
        document.dataCentres["dc1"].region = "r1";
        Configuration::service_settings settings;
        settings.currentSnapshot = "snapshot-1";
        query = {};
        for (std::size_t shard = 0; shard < shards; ++shard) {
            const std::string name = "s" + std::to_string(shard);
            for (const char *replica : {"-r0", "-r1", "-r2"}) {
                settings.replicas[name + replica] = {name, "127.0.0.1:1", "dc1", "v1", false};
            }
            query.plan.shards.push_back({name, 1.0});
        }
        Backend::applyConfiguration(service, document, settings, now);
        query.plan.requestId = "id";
        query.plan.snapshot = "snapshot-1";
        query.plan.deadline = now + std::chrono::seconds(1);
    }

    /// Records enough latencies of 10 ms for the service to compute quantiles, and grants tokens for hedges.
    void recordUniformLatencies()
    {
        for (int sample = 0; sample < 1000; ++sample) {
            Backend::recordLatency(service.firstAttemptLatencies, std::chrono::milliseconds(10));
        }
        service.extraLoad.tokens = 100.0;
    }

    [[nodiscard]] Query::shard_answer answerFor(std::size_t shard) const
    {
        Query::shard_answer answer;
        answer.requestId = "id";
        answer.snapshot = "snapshot-1";
        answer.shard = query.plan.shards[shard].name;
        return answer;
    }
};
