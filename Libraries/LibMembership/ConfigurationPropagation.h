#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Propagation of the configuration between daemons. If the receiver's current document is known, the configuration is
/// sent as a merge patch against it: a complete document at each change would exceed the bandwidth budget for control
/// traffic.
namespace Membership
{
struct member_table;
struct membership_settings;

/// Selects a random peer to fetch a newer configuration from: one that is not dead and has a higher configuration
/// number than this daemon. Returns its peer address.
[[nodiscard]] std::optional<std::string> chooseConfigurationSource(const member_table &table,
                                                                   const membership_settings &settings,
                                                                   Core::time_point now, Core::random_engine &random);

/// Returns the RFC 7396 merge patch that turns `before` into `after`. Errors: InvalidInput if either text is not a JSON
/// object.
[[nodiscard]] Core::result<std::string> makeMergePatch(std::string_view before, std::string_view after);

/// Applies an RFC 7396 merge patch to a document. Errors: InvalidInput if either text is not a JSON object.
[[nodiscard]] Core::result<std::string> applyMergePatch(std::string_view before, std::string_view patch);

/// Returns a checksum of a JSON object that does not depend on the order of its members; 0 if `text` is not an object.
[[nodiscard]] std::uint64_t documentChecksum(std::string_view text);
} // namespace Membership
