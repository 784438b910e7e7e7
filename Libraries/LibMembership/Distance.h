#pragma once

#include <string>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
/// How far two data centres are apart, the nearest first.
enum class distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

[[nodiscard]] distance distanceBetween(const Configuration::configuration_document &document, const std::string &left,
                                       const std::string &right);

/// Whether operators have taken the data centre out. Unknown data centres are not.
[[nodiscard]] bool isOut(const Configuration::configuration_document &document, const std::string &dataCentre);
} // namespace Membership
