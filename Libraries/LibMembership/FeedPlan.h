#pragma once

#include "LibCore/Time.h"

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

/// From whom this daemon learns what changes in the store.
struct feed_plan {
    bool watchesStore = false; ///< This daemon is one of the few that watch the store itself.
    std::vector<std::string> sources; ///< Peer addresses of the watchers, the nearest first.
};

/// Every daemon computes the watchers from its own view of the fleet. Views that differ for a while make somewhat more
/// or fewer watchers, never wrong news.
[[nodiscard]] feed_plan planFeed(const member_table &table, const membership_settings &settings,
                                 const Configuration::configuration_document &document, Core::time_point now);

/// The highest number in force that any live member says it has.
[[nodiscard]] std::uint64_t newestNumber(const member_table &table, const membership_settings &settings,
                                         Core::time_point now);
} // namespace Membership
