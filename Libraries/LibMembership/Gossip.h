#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibMembership/GossipMessage.h"

#include <optional>
#include <string>
#include <vector>

/// The exchange between daemons: each round a daemon sends a digest of the heartbeats that advanced lately to a random
/// peer, which answers with those that it knows better. Whole records travel when they are new or asked for.
namespace Membership
{
struct member_table;
struct membership_settings;

/// Starts a round: advances the own heartbeat and makes the message to send to chooseTargets().
[[nodiscard]] gossip_message startRound(member_table &table, const membership_settings &settings, Core::time_point now);

/// The peer addresses to send this round's message to: one live peer and, now and then, one that is not live or that
/// only the platform's list or the settings name.
[[nodiscard]] std::vector<std::string> chooseTargets(const member_table &table, const membership_settings &settings,
                                                     Core::time_point now, Core::random_engine &random);

/// Peers to tell of a new configuration number at once, with makeAnnouncement().
[[nodiscard]] std::vector<std::string> chooseAnnounceTargets(const member_table &table,
                                                             const membership_settings &settings, Core::time_point now,
                                                             Core::random_engine &random);

/// A small message that carries only this daemon's own state.
[[nodiscard]] gossip_message makeAnnouncement(const member_table &table);

/// Merges a peer's message and makes the reply.
[[nodiscard]] gossip_message onGossip(member_table &table, const gossip_message &message,
                                      const membership_settings &settings, Core::time_point now);

/// Merges the reply to a message. Returns a further message for the same peer if either side lacks records.
[[nodiscard]] std::optional<gossip_message> onGossipReply(member_table &table, const gossip_message &reply,
                                                          const membership_settings &settings, Core::time_point now);
} // namespace Membership
