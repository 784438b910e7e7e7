#pragma once

#include <boost/json/fwd.hpp>

namespace Configuration
{
/// Applies a JSON merge patch (RFC 7396, section 2) to a value in place.
void mergePatch(boost::json::value &target, const boost::json::value &patch);
} // namespace Configuration
