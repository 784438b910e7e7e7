#include "LibQuery/AtMostOnceEvents.h"

#include "LibCore/Verify.h"
#include "LibQuery/AtMostOnceRegistry.h"
#include "LibQuery/RequestIdentityText.h"

#include <optional>
#include <utility>

namespace Query
{
void forgetOldRequests(once_registry &registry, Core::wall_time now)
{
    while (!registry.forgetting.empty() && registry.forgetting.top().first <= now) {
        const auto found = registry.entries.find(registry.forgetting.top().second);
        // A running request keeps its entry until it finishes, regardless of the age of its id.
        if (found != registry.entries.end() && found->second.progress != once_progress::Running) {
            registry.entries.erase(found);
        }
        registry.forgetting.pop();
    }
}

static std::optional<once_decision> decisionOf(const once_registry &registry, const std::string &requestId,
                                               std::uint64_t fingerprint)
{
    const auto found = registry.entries.find(requestId);
    if (found == registry.entries.end()) {
        return std::nullopt;
    }
    if (found->second.progress == once_progress::Refused) {
        return once_decision::NotRun;
    }
    if (found->second.fingerprint != fingerprint) {
        return once_decision::Mismatch;
    }
    return found->second.progress == once_progress::Running ? once_decision::Wait : once_decision::Replay;
}

static bool isOwn(const once_registry &registry, const request_identity &identity)
{
    return identity.virtualMachine == registry.virtualMachine && identity.incarnation == registry.incarnation;
}

static void remember(once_registry &registry, const std::string &requestId, const request_identity &identity,
                     std::uint64_t fingerprint, once_progress progress)
{
    const Core::wall_time forgetAt = identity.madeAt + onceWindow;
    registry.entries[requestId] = once_entry {progress, fingerprint, forgetAt, 0, {}};
    registry.forgetting.emplace(forgetAt, requestId);
}

/// Checks the creation time in the id. No entry is removed within the window, so an unrecorded id of that age was never
/// started.
static std::optional<once_decision> checkAge(const request_identity &identity, Core::wall_time now)
{
    if (identity.madeAt > now + onceClockTolerance) {
        return once_decision::Malformed;
    }
    if (now >= identity.madeAt + onceWindow) {
        return once_decision::Unknown;
    }
    return std::nullopt;
}

namespace
{
/// The decisions that differ between a caller's request and an inquiry of another daemon.
struct once_rules {
    once_decision ofAnotherLife; ///< Decision if the id names another incarnation.
    once_decision withoutRoom; ///< Decision if the registry is full, so that no entry can be added.
    once_progress recorded; ///< The progress recorded for a request without an entry.
    once_decision ofUnseen; ///< Decision for a request without an entry, after it is recorded.
};
} // namespace

static once_decision decide(once_registry &registry, const std::string &requestId, std::uint64_t fingerprint,
                            Core::wall_time now, const once_rules &rules)
{
    const std::optional<request_identity> identity = parseRequestIdentity(requestId);
    if (!identity) {
        return once_decision::Malformed;
    }
    if (!isOwn(registry, *identity)) {
        return rules.ofAnotherLife;
    }
    forgetOldRequests(registry, now);
    if (const auto known = decisionOf(registry, requestId, fingerprint)) {
        return *known;
    }
    if (const auto tooOld = checkAge(*identity, now)) {
        return *tooOld;
    }
    if (registry.entries.size() >= registry.mostEntries) {
        return rules.withoutRoom;
    }
    remember(registry, requestId, *identity, fingerprint, rules.recorded);
    return rules.ofUnseen;
}

once_decision beginOnce(once_registry &registry, const std::string &requestId, std::uint64_t fingerprint,
                        Core::wall_time now)
{
    return decide(registry, requestId, fingerprint, now,
                  {once_decision::AskNamedDaemon, once_decision::NotRun, once_progress::Running, once_decision::Start});
}

once_decision resolveOnce(once_registry &registry, const std::string &requestId, std::uint64_t fingerprint,
                          Core::wall_time now)
{
    // An earlier incarnation on this VM may have run the request. In a full registry the refusal cannot be recorded, so
    // that the request could still arrive later and run. The outcome is unknown in both cases.
    return decide(registry, requestId, fingerprint, now,
                  {once_decision::Unknown, once_decision::Unknown, once_progress::Refused, once_decision::NotRun});
}

void finishOnce(once_registry &registry, const std::string &requestId, int status, std::string answer)
{
    const auto found = registry.entries.find(requestId);
    VERIFY(found != registry.entries.end());
    VERIFY(found->second.progress == once_progress::Running);
    found->second.progress = once_progress::Finished;
    found->second.status = status;
    found->second.answer = std::move(answer);
    registry.forgetting.emplace(found->second.forgetAt, requestId);
}
} // namespace Query
