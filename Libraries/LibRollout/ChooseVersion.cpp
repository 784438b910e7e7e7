#include "LibRollout/ChooseVersion.h"

#include "LibConfiguration/ServiceSettings.h"

namespace Rollout
{
std::string chooseVersion(const Configuration::service_settings &service, double newShare, double draw)
{
    if (!service.rollout) {
        return service.version;
    }
    return draw < newShare ? service.rollout->toVersion : service.rollout->fromVersion;
}
} // namespace Rollout
