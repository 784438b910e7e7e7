#pragma once

namespace Exchange
{
/// Why a daemon reads the store itself or follows another daemon.
enum class feed_reason {
    Assigned, ///< The feed plan says so.
    NoSources, ///< There is no other daemon to follow.
    NoSourceAnswers, ///< All sources have failed or refused.
    NoPeerContact, ///< No message from any peer; the daemon may be cut off from them.
    Lagging, ///< No source has delivered what other daemons have.
    StoreUnreachable, ///< The store does not answer this daemon.
};

/// The name used in logs.
[[nodiscard]] const char *feedReasonName(feed_reason reason);
} // namespace Exchange
