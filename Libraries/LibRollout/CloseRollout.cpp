#include "LibRollout/CloseRollout.h"

#include "LibConfiguration/ServiceSettings.h"
#include "LibRollout/JudgeEvidence.h"
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

static closing_patch makePatch(const std::string &name, std::uint64_t number, const char *end, json::object change)
{
    json::object services;
    services[name] = std::move(change);
    return {"rollout-" + name + "-" + std::to_string(number) + "-" + end,
            json::serialize(json::object {{"services", std::move(services)}})};
}

std::optional<closing_patch> closeRollout(const std::string &name, const Configuration::service_settings &service,
                                          const rollout_evidence &evidence, Core::wall_time now)
{
    if (!service.rollout || isClosed(service)) {
        return std::nullopt;
    }
    const Configuration::rollout_settings &rollout = *service.rollout;
    if (judgeEvidence(evidence, now) == verdict::Bad) {
        return makePatch(name, rollout.number, "taken-back", {{"rollout", json::object {{"taken_back", true}}}});
    }
    if (now >= rollout.deadline) {
        return makePatch(name, rollout.number, "done", {{"version", rollout.toVersion}});
    }
    return std::nullopt;
}
} // namespace Rollout
