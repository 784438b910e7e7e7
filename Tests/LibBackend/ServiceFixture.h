#pragma once

#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/SlowStart.h"
#include "LibConfiguration/ConfigurationDocument.h"

#include <gtest/gtest.h>

/// One daemon's view of a service whose shard "a" has two replicas: "a1" in dc1 and "a2" in dc2.
struct service_fixture : testing::Test {
    Core::time_point now {std::chrono::hours(1)};
    Core::random_engine random {1};
    Configuration::configuration_document document;
    Backend::service_state service;

    void SetUp() override
    {
        document.number = 5;
        document.dataCentres["dc1"].region = "r1";
        document.dataCentres["dc2"].region = "r2";
        Configuration::service_settings &settings = document.services["search"];
        settings.replicas["a1"] = {"a", "127.0.0.1:1", "dc1", "v1", false};
        settings.replicas["a2"] = {"a", "127.0.0.1:2", "dc2", "v1", false};
        settings.routes["lookup"].deadline = std::chrono::seconds(1);
        apply();
    }

    void apply()
    {
        Backend::applyConfiguration(service, document, document.services.at("search"), now);
    }

    /// Imports a record of completed slow start for each replica.
    void completeSlowStarts()
    {
        for (const Backend::replica_state &replica : service.replicas) {
            Backend::importSlowStart(service, {{replica.name, 0, 0, "i1", Backend::completedSlowStartLevel}}, now);
        }
    }

    /// Applies a view in which this daemon has `rank` for "a1" and none for "a2", whose slow start "peer" runs.
    void setRankForA1(std::uint32_t rank)
    {
        Backend::ownership_view view;
        view.slowStartRanks["a1"] = rank;
        view.slowStartOwners["a1"] = rank == 0 ? "self" : "other";
        view.slowStartOwners["a2"] = "peer";
        view.connectionsPerReplica = 4;
        Backend::applyOwnership(service, view, now);
    }

    /// Advances the clock beyond the handover period while exchanges with peers confirm the view.
    void completeHandover()
    {
        for (int second = 0; second < 6; ++second) {
            now += std::chrono::seconds(1);
            Backend::confirmOwnership(service, now);
        }
    }

    std::optional<std::size_t> choose()
    {
        return Backend::chooseReplica(service, {"a", "", nullptr, {}}, now, random);
    }

    Backend::replica_state &replica(const std::string &name)
    {
        return service.replicas[service.byName.at(name)];
    }

    void respond(const std::string &name, const Backend::replica_report &report,
                 Core::duration latency = std::chrono::milliseconds(5))
    {
        const std::size_t index = service.byName.at(name);
        Backend::recordSent(service, index, now);
        now += latency;
        Backend::recordResponse(service, index, report, latency, now);
    }
};
