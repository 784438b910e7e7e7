#include "LibExchange/StoreContact.h"

#include <algorithm>

namespace Exchange
{
/// Covers the first tries after the store has closed the watches.
static constexpr Core::duration toleratedFailure = std::chrono::milliseconds(300);

void recordStoreAnswer(store_contact &contact)
{
    contact.failingSince.reset();
}

void recordStoreFailure(store_contact &contact, Core::time_point now)
{
    if (!contact.failingSince) {
        contact.failingSince = now;
    }
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
    Core::duration longest {};
    for (const std::optional<Core::time_point> &since : {contact.failingSince, contact.silentSince}) {
        if (since) {
            longest = std::max(longest, now - std::max(*since, contact.watchingSince));
        }
    }
    return longest;
}

bool canRelayUpdates(const store_contact &contact, Core::time_point now)
{
    const bool isFailing = contact.failingSince && now - *contact.failingSince > toleratedFailure;
    return !isFailing && !contact.silentSince;
}

Core::time_point relayCheckTime(Core::time_point failedAt)
{
    return failedAt + toleratedFailure + std::chrono::milliseconds(1);
}
} // namespace Exchange
