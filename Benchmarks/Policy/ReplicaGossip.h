#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Bench
{
class query_driver;

/// What peers tell each other of replicas, on virtual time: ownership views, warmth records and claims. Each daemon of
/// the driver exchanges with every other one in rounds, as the daemons' gossip does for the newest changes.
class replica_gossip
{
public:
    /// The document's replicas and data centres stay as they are; the driver may put others in force meanwhile.
    replica_gossip(query_driver &driver, Configuration::configuration_document document, std::size_t daemons,
                   std::uint64_t seed);

    /// Hands every daemon its view of all members.
    void applyViews();
    /// Hands one daemon a view in which some members are missing.
    void applyView(std::size_t daemon, const std::vector<std::size_t> &missing);
    /// From now on one random daemon after the other gets a view in which some members are missing, until `end`.
    void disagreeUntil(Core::time_point end);

private:
    void exchange(std::size_t daemon);

    query_driver &m_driver;
    const Configuration::configuration_document m_document;
    const std::size_t m_daemons;
    Core::random_engine m_random;
};
} // namespace Bench
