#pragma once

#include "Fixtures.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/MakePlan.h"
#include "LibForward/PartialResult.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RequestState.h"

#include <gtest/gtest.h>

/// One request to services s0, s1, ... with three replicas each, on virtual time.
class request_events_test : public testing::Test
{
protected:
    void addReplicas(std::size_t services)
    {
        for (std::size_t index = 0; index < services; ++index) {
            const std::string service = "s" + std::to_string(index);
            for (const char *dataCentre : {"a", "b", "c"}) {
                const std::string id = service + "-" + dataCentre;
                Forward::applyRegistration(m_context.replicaTable,
                                           Fixtures::replicaRegistration(id, service, dataCentre), m_now);
            }
        }
    }

    Forward::request_effects start(std::shared_ptr<const Forward::traffic_configuration> configuration,
                                   Core::duration callerTimeout)
    {
        const Forward::route &matched = configuration->routes.front();
        m_request.plan = Forward::makePlan(std::move(configuration), matched, callerTimeout, m_context, m_now);
        return Forward::startRequest(m_request, m_context, m_now);
    }

    Forward::request_effects answer(std::uint32_t attempt)
    {
        return Forward::onAnswer(m_request, m_context, attempt, {"digest", "records"}, m_now);
    }

    Forward::request_effects fail(std::uint32_t attempt, Forward::attempt_failure failure)
    {
        return Forward::onFailure(m_request, m_context, attempt, failure, m_now);
    }

    /// Refuses the attempt and all further ones. Returns the outcome of the request.
    std::optional<Forward::request_outcome> refuseUntilFinished(Forward::request_effects effects)
    {
        while (!effects.finished) {
            if (!effects.sends.empty()) {
                effects = fail(effects.sends[0].attempt, Forward::attempt_failure::NotExecuted);
                continue;
            }
            m_now = effects.wakeAt.value();
            effects = Forward::onTimer(m_request, m_context, m_now);
        }
        return effects.finished;
    }

    Forward::forward_context m_context = Fixtures::makeContext();
    Forward::request_state m_request;
    Core::time_point m_now {std::chrono::seconds(1000)};
};
