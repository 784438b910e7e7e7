#pragma once

#include "LibMembership/KeyedBlob.h"

#include <cstddef>
#include <string>
#include <vector>

struct daemon_state;

/// Tells peers how warm the replicas are and which of them this daemon warms. Recent changes and claims go into every
/// message; what is left of the budget repeats older records in turn, so that fresh daemons learn them all.
class warmth_gossip
{
public:
    explicit warmth_gossip(daemon_state &daemon);

    /// Registers with the daemon's gossip; this object must live as long as the daemon gossips.
    void start();

private:
    enum class record_choice {
        Recent, ///< Claims and recent changes.
        All,
    };

    std::vector<Membership::keyed_blob> produce(std::size_t budget);
    std::string produceFor(const std::string &service, record_choice choice, std::size_t budget);
    void merge(const Membership::keyed_blob &blob);

    daemon_state &m_daemon;
    std::size_t m_turn = 0; ///< Counts messages, so that each starts elsewhere; only used under the gossip's lock.
};
