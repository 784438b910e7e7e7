#pragma once

#include "LibCore/Error.h"

#include <boost/outcome/result.hpp>

namespace Core
{
/// Either a value or an error. Accessing the alternative that is not present throws; tests rely on this.
template<typename Value> using result = boost::outcome_v2::checked<Value, error>;

/// Returns a successful result without a value.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}
} // namespace Core
