#pragma once

#include "LibCore/Result.h"
#include "LibMembership/ListedVm.h"

#include <string_view>
#include <vector>

namespace Membership
{
/// Parses the platform's list: a JSON array of objects with name, caller_address, peer_address, data_centre and
/// leaving. Skips items that are not objects or have no name or peer address. Errors: InvalidInput if the text is not
/// an array.
[[nodiscard]] Core::result<std::vector<listed_vm>> parseVmList(std::string_view text);
} // namespace Membership
