#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibMembership/ActiveSet.h"
#include "LibMembership/GossipMessage.h"

#include <optional>
#include <string>
#include <vector>

/// The gossip protocol between daemons: in each round a daemon sends a digest of the most recently advanced heartbeats
/// to a random peer, which replies with the entries for which it has a newer heartbeat. Complete records are sent only
/// while they are new, or on request.
namespace Membership
{
struct member_table;
struct membership_settings;

/// Starts a round: increments this daemon's heartbeat and returns the message to send to chooseTargets().
[[nodiscard]] gossip_message startRound(member_table &table, const membership_settings &settings, Core::time_point now);

/// Returns the peer addresses to send this round's message to: one live peer and, in some rounds, one that is dead or
/// that is known only from the platform's list or the settings.
[[nodiscard]] std::vector<std::string> chooseTargets(const member_table &table, const membership_settings &settings,
                                                     Core::time_point now, Core::random_engine &random);

/// Returns the peers to notify immediately of a new configuration number, with the message of makeAnnouncement().
[[nodiscard]] std::vector<std::string> chooseAnnouncementTargets(const member_table &table,
                                                                 const membership_settings &settings,
                                                                 Core::time_point now, Core::random_engine &random);

/// Returns a message that carries only this daemon's own digest entry.
[[nodiscard]] gossip_message makeAnnouncement(const member_table &table);

/// Advances this daemon's heartbeat and returns the heartbeat message of an active member, for
/// chooseHeartbeatTargets(). It passes on the heartbeats of the other active members. Not answered.
[[nodiscard]] gossip_message makeHeartbeat(member_table &table, const membership_settings &settings,
                                           const active_sets &active, Core::time_point now);

/// Returns the peers that an active member sends its heartbeat messages to: every live member of its data centre, and
/// one active member of each other data centre, which passes it on there.
[[nodiscard]] std::vector<std::string> chooseHeartbeatTargets(const member_table &table,
                                                              const membership_settings &settings,
                                                              const active_sets &active, Core::time_point now,
                                                              Core::random_engine &random);

/// Merges a peer's message and returns the reply.
[[nodiscard]] gossip_message onGossip(member_table &table, const gossip_message &message,
                                      const membership_settings &settings, Core::time_point now);

/// Merges the reply to a message. Returns a second message for the same peer if either side lacks records.
[[nodiscard]] std::optional<gossip_message> onGossipReply(member_table &table, const gossip_message &reply,
                                                          const membership_settings &settings, Core::time_point now);
} // namespace Membership
