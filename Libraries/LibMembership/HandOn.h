#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// How a configuration travels from daemon to daemon: as a merge patch against the document that the other one has,
/// where that is known, since a whole document at each change would break the budget for control.
namespace Membership
{
struct member_table;
struct membership_settings;

/// A peer to fetch a newer configuration from: one that is not dead and has a higher number than this daemon.
[[nodiscard]] std::optional<std::string> chooseConfigurationSource(const member_table &table,
                                                                   const membership_settings &settings,
                                                                   Core::time_point now, Core::random_engine &random);

/// Returns the RFC 7396 merge patch that turns `before` into `after`. Errors: InvalidInput if either is no JSON object.
[[nodiscard]] Core::result<std::string> makeMergePatch(std::string_view before, std::string_view after);

/// Applies such a patch to a document's text. Errors: InvalidInput.
[[nodiscard]] Core::result<std::string> applyMergePatch(std::string_view before, std::string_view patch);

/// A checksum of a JSON text that does not depend on the order of members.
[[nodiscard]] std::uint64_t documentChecksum(std::string_view text);
} // namespace Membership
