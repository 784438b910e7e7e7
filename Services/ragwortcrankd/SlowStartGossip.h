#pragma once

#include "LibMembership/KeyedBlob.h"

#include <cstddef>
#include <string>
#include <vector>

struct daemon_state;

/// Sends peers the slow-start progress of replicas and claims to the replicas whose slow start this daemon runs. Every
/// message contains claims and recent changes; the rest of the budget cycles through older records, so that newly
/// started daemons receive all of them.
class slow_start_gossip
{
public:
    explicit slow_start_gossip(daemon_state &daemon);

    /// Registers with the daemon's gossip exchange; this object must live as long as the daemon gossips.
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
    /// Number of messages produced; rotates the start of each. Used only under the lock of the gossip exchange.
    std::size_t m_messageCount = 0;
};
