#pragma once

#include "LibCore/Time.h"
#include "LibMembership/ConfigurationNumber.h"

#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
struct member_table;
struct membership_settings;

/// The sources from which this daemon receives store updates.
struct feed_plan {
    bool watchesStore = false; ///< This daemon is one of the watchers, which read updates from the store directly.
    /// Peer addresses of the other watchers, by ascending distance, then of those that replace them if none answers.
    std::vector<std::string> sources;
    /// How long this daemon looks for a source before it asks the store itself, so that not all ask at once. Those that
    /// replace the watchers ask first.
    Core::duration storeFallbackDelay {};
};

/// Computes the watchers from this daemon's membership view. While views differ between daemons, the number of watchers
/// deviates from the target, but the relayed updates remain correct.
[[nodiscard]] feed_plan planFeed(const member_table &table, const membership_settings &settings,
                                 const Configuration::configuration_document &document, Core::time_point now);

/// Returns the highest configuration number that any live member, including this daemon, reports as in force.
[[nodiscard]] configuration_number newestNumber(const member_table &table, const membership_settings &settings,
                                                Core::time_point now);
} // namespace Membership
