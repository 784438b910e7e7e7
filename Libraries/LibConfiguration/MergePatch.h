#pragma once

#include <boost/json/fwd.hpp>

namespace Configuration
{
/// Applies a merge patch to a JSON value, as RFC 7396, section 2, defines it.
void mergePatch(boost::json::value &target, const boost::json::value &patch);
} // namespace Configuration
