#pragma once

#include "LibCore/Time.h"

namespace Membership
{
/// Whether requests wait for this daemon's processor.
struct overload_state {
    Core::time_point overloadedUntil;
};
} // namespace Membership
