#pragma once

#include "LibCore/Result.h"
#include "LibMembership/ListedVm.h"

#include <string_view>
#include <vector>

namespace Membership
{
/// Reads the platform's list: a JSON array of objects with name, caller_address, peer_address, data_centre and leaving.
/// Errors: InvalidInput if the text is not such an array. Entries without a name or peer address are passed over.
[[nodiscard]] Core::result<std::vector<listed_vm>> parseVmList(std::string_view text);
} // namespace Membership
