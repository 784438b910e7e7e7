#include "LibExchange/StoreContact.h"

#include <algorithm>

namespace Exchange
{
/// Covers the first tries after the store has closed the watches.
static constexpr Core::duration toleratedFailure = std::chrono::milliseconds(300);

void recordStoreAnswer(store_contact &contact, const std::string &kind)
{
    contact.failingSince.erase(kind);
}

bool recordStoreFailure(store_contact &contact, const std::string &kind, Core::time_point now)
{
    return contact.failingSince.try_emplace(kind, now).second;
}

void recordProbe(store_contact &contact, bool isAnswered, Core::time_point now)
{
    if (isAnswered) {
        contact.silentSince.reset();
    } else if (!contact.silentSince) {
        contact.silentSince = now;
    }
}

Core::duration unreachableFor(const store_contact &contact, Core::time_point now)
{
    std::optional<Core::time_point> earliest = contact.silentSince;
    for (const auto &[kind, since] : contact.failingSince) {
        earliest = std::min(earliest.value_or(since), since);
    }
    return earliest ? now - std::max(*earliest, contact.watchingSince) : Core::duration {};
}

bool canRelayUpdates(const store_contact &contact, Core::time_point now)
{
    const bool isFailing = std::any_of(contact.failingSince.begin(), contact.failingSince.end(),
                                       [&](const auto &failure) { return now - failure.second > toleratedFailure; });
    return !isFailing && !contact.silentSince;
}

Core::time_point relayCheckTime(Core::time_point failedAt)
{
    return failedAt + toleratedFailure + std::chrono::milliseconds(1);
}
} // namespace Exchange
