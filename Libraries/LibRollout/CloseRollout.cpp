#include "LibRollout/CloseRollout.h"

#include "LibConfiguration/ServiceSettings.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace json = boost::json;

namespace Rollout
{
bool isClosed(const Configuration::service_settings &service)
{
    return !service.rollout || service.rollout->takenBack || service.version == service.rollout->toVersion;
}

static closing_patch makePatch(const std::string &name, std::uint64_t documentNumber, const std::string &end,
                               json::object change)
{
    json::object services;
    services[name] = std::move(change);
    return {std::to_string(documentNumber) + "-" + end + "-" + name,
            json::serialize(json::object {{"services", std::move(services)}})};
}

std::optional<closing_patch> closeRollout(const std::string &name, const Configuration::service_settings &service,
                                          std::uint64_t documentNumber, const rollout_evidence &evidence,
                                          Core::wall_time now)
{
    if (!service.rollout || isClosed(service)) {
        return std::nullopt;
    }
    const Configuration::rollout_settings &rollout = *service.rollout;
    if (evaluateEvidence(evidence, now) == verdict::Bad) {
        return makePatch(name, documentNumber, "rollout-taken-back",
                         {{"rollout", json::object {{"taken_back", true}}}});
    }
    if (now >= rollout.deadline) {
        return makePatch(name, documentNumber, "rollout-done", {{"version", rollout.toVersion}});
    }
    return std::nullopt;
}
} // namespace Rollout
