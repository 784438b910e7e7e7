#pragma once

#include <string>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
/// Network distance between two data centres, in ascending order.
enum class distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

[[nodiscard]] distance distanceBetween(const Configuration::configuration_document &document, const std::string &left,
                                       const std::string &right);

/// Returns whether operators have taken the data centre out of service; false for a data centre that is not configured.
[[nodiscard]] bool isOut(const Configuration::configuration_document &document, const std::string &dataCentre);
} // namespace Membership
