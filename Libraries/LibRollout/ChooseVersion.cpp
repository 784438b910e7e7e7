#include "LibRollout/ChooseVersion.h"

#include "LibConfiguration/ServiceSettings.h"

#include <cstdint>

namespace Rollout
{
/// Hashes a request id to a uniformly distributed number from 0 to 1. The number of the rollout is included, so that
/// the choice is independent between rollouts.
static double uniformHash(std::string_view requestId, std::uint64_t rollout)
{
    std::uint64_t hash = 14695981039346656037ULL ^ rollout;
    for (const char letter : requestId) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
    }
    hash = (hash ^ (hash >> 33U)) * 0xFF51AFD7ED558CCDULL;
    hash = (hash ^ (hash >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(hash ^ (hash >> 33U)) / range;
}

std::string chooseVersion(const Configuration::service_settings &service, double newShare, std::string_view requestId)
{
    if (!service.rollout || service.version == service.rollout->toVersion) {
        return service.version;
    }
    const bool useNew = uniformHash(requestId, service.rollout->number) < newShare;
    return useNew ? service.rollout->toVersion : service.rollout->fromVersion;
}
} // namespace Rollout
