#include "LibQuery/AtMostOnceEvents.h"

#include "LibCore/Verify.h"
#include "LibQuery/AtMostOnceRegistry.h"
#include "LibQuery/RequestIdentityText.h"

#include <optional>
#include <utility>

namespace Query
{
void removeExpiredRequests(at_most_once_registry &registry, Core::wall_time now)
{
    while (!registry.expiryQueue.empty() && registry.expiryQueue.top().first <= now) {
        const auto found = registry.entries.find(registry.expiryQueue.top().second);
        // A running request keeps its entry until it finishes, regardless of the age of its id.
        if (found != registry.entries.end() && found->second.progress != at_most_once_progress::Running) {
            registry.entries.erase(found);
        }
        registry.expiryQueue.pop();
    }
}

static std::optional<at_most_once_decision> decisionForEntry(const at_most_once_registry &registry,
                                                             const std::string &requestId, std::uint64_t fingerprint)
{
    const auto found = registry.entries.find(requestId);
    if (found == registry.entries.end()) {
        return std::nullopt;
    }
    if (found->second.progress == at_most_once_progress::Refused) {
        return at_most_once_decision::NotRun;
    }
    if (found->second.fingerprint != fingerprint) {
        return at_most_once_decision::Mismatch;
    }
    return found->second.progress == at_most_once_progress::Running ? at_most_once_decision::Wait
                                                                    : at_most_once_decision::Replay;
}

static bool namesThisDaemon(const at_most_once_registry &registry, const request_identity &identity)
{
    return identity.virtualMachine == registry.virtualMachine && identity.incarnation == registry.incarnation;
}

static void addEntry(at_most_once_registry &registry, const std::string &requestId, const request_identity &identity,
                     std::uint64_t fingerprint, at_most_once_progress progress)
{
    const Core::wall_time expiresAt = identity.createdAt + atMostOnceWindow;
    registry.entries[requestId] = at_most_once_entry {progress, fingerprint, expiresAt, 0, {}};
    registry.expiryQueue.emplace(expiresAt, requestId);
}

/// Checks the creation time in the id. No entry is removed within the window, so an unrecorded id of that age was never
/// started.
static std::optional<at_most_once_decision> checkAge(const request_identity &identity, Core::wall_time now)
{
    if (identity.createdAt > now + atMostOnceClockTolerance) {
        return at_most_once_decision::Malformed;
    }
    if (now >= identity.createdAt + atMostOnceWindow) {
        return at_most_once_decision::Unknown;
    }
    return std::nullopt;
}

namespace
{
/// The decisions that differ between a caller's request and an inquiry of another daemon.
struct at_most_once_rules {
    at_most_once_decision otherIncarnation; ///< Decision if the id names another incarnation.
    at_most_once_decision registryFull; ///< Decision if the registry is full, so that no entry can be added.
    at_most_once_progress newEntryProgress; ///< The progress recorded for a request without an entry.
    at_most_once_decision newRequest; ///< Decision for a request without an entry, after it is recorded.
};
} // namespace

static at_most_once_decision decide(at_most_once_registry &registry, const std::string &requestId,
                                    std::uint64_t fingerprint, Core::wall_time now, const at_most_once_rules &rules)
{
    const std::optional<request_identity> identity = parseRequestIdentity(requestId);
    if (!identity) {
        return at_most_once_decision::Malformed;
    }
    if (!namesThisDaemon(registry, *identity)) {
        return rules.otherIncarnation;
    }
    removeExpiredRequests(registry, now);
    if (const auto recordedDecision = decisionForEntry(registry, requestId, fingerprint)) {
        return *recordedDecision;
    }
    if (const auto ageDecision = checkAge(*identity, now)) {
        return *ageDecision;
    }
    if (registry.entries.size() >= registry.maximumEntries) {
        return rules.registryFull;
    }
    addEntry(registry, requestId, *identity, fingerprint, rules.newEntryProgress);
    return rules.newRequest;
}

at_most_once_decision beginAtMostOnce(at_most_once_registry &registry, const std::string &requestId,
                                      std::uint64_t fingerprint, Core::wall_time now)
{
    return decide(registry, requestId, fingerprint, now,
                  {at_most_once_decision::AskNamedDaemon, at_most_once_decision::NotRun, at_most_once_progress::Running,
                   at_most_once_decision::Start});
}

at_most_once_decision resolveAtMostOnce(at_most_once_registry &registry, const std::string &requestId,
                                        std::uint64_t fingerprint, Core::wall_time now)
{
    // An earlier incarnation on this VM may have run the request. In a full registry the refusal cannot be recorded, so
    // that the request could still arrive later and run. The outcome is unknown in both cases.
    return decide(registry, requestId, fingerprint, now,
                  {at_most_once_decision::Unknown, at_most_once_decision::Unknown, at_most_once_progress::Refused,
                   at_most_once_decision::NotRun});
}

void finishAtMostOnce(at_most_once_registry &registry, const std::string &requestId, int status, std::string answer)
{
    const auto found = registry.entries.find(requestId);
    VERIFY(found != registry.entries.end());
    VERIFY(found->second.progress == at_most_once_progress::Running);
    found->second.progress = at_most_once_progress::Finished;
    found->second.status = status;
    found->second.answer = std::move(answer);
    registry.expiryQueue.emplace(found->second.expiresAt, requestId);
}
} // namespace Query
