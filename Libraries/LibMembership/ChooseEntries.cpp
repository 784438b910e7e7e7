#include "LibMembership/ChooseEntries.h"

#include "LibMembership/ActiveSet.h"
#include "LibMembership/Distance.h"
#include "LibMembership/MemberRecord.h"

#include <algorithm>
#include <array>

namespace Membership
{
/// Remote entries are a fallback for when no entry nearby responds; their low weights keep most other callers away.
static constexpr std::array<double, 3> weightByDistance {1.0, 0.02, 0.01};
static constexpr std::array<std::size_t, 3> maximumEntriesByDistance {12, 4, 4};

std::vector<entry> chooseEntries(const member_table &table, const membership_settings &settings,
                                 const Configuration::configuration_document &document, const std::string &dataCentre,
                                 Core::time_point now, Core::random_engine &random)
{
    std::array<std::vector<const member_record *>, 3> byDistance;
    for (const auto &[memberDataCentre, members] : activeMembers(table, settings, document, now)) {
        const distance distanceRank = distanceBetween(document, dataCentre, memberDataCentre);
        std::vector<const member_record *> &records = byDistance[static_cast<std::size_t>(distanceRank)];
        records.insert(records.end(), members.begin(), members.end());
    }
    std::vector<entry> entries;
    for (std::size_t distanceRank = 0; distanceRank < byDistance.size(); ++distanceRank) {
        std::vector<const member_record *> &records = byDistance[distanceRank];
        std::shuffle(records.begin(), records.end(), random);
        records.resize(std::min(records.size(), maximumEntriesByDistance[distanceRank]));
        // The nearest distance that has any entries gets the full weight: it serves callers that have none nearer.
        const double weight = entries.empty() ? 1.0 : weightByDistance[distanceRank];
        for (const member_record *record : records) {
            entries.push_back({record->name, record->incarnation, record->callerAddress, record->dataCentre, weight});
        }
    }
    return entries;
}
} // namespace Membership
