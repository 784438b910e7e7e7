#include "LibMembership/Distance.h"

#include "LibConfiguration/ConfigurationDocument.h"

namespace Membership
{
distance distanceBetween(const Configuration::configuration_document &document, const std::string &left,
                         const std::string &right)
{
    if (left == right) {
        return distance::SameDataCentre;
    }
    const auto leftSettings = document.dataCentres.find(left);
    const auto rightSettings = document.dataCentres.find(right);
    if (leftSettings == document.dataCentres.end() || rightSettings == document.dataCentres.end()) {
        return distance::OtherRegion;
    }
    return leftSettings->second.region == rightSettings->second.region ? distance::SameRegion : distance::OtherRegion;
}

bool isOut(const Configuration::configuration_document &document, const std::string &dataCentre)
{
    const auto found = document.dataCentres.find(dataCentre);
    return found != document.dataCentres.end() && found->second.out;
}
} // namespace Membership
