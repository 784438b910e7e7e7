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

Core::duration unreachableFor(const store_contact &contact, Core::time_point now)
{
    return contact.failingSince ? now - std::max(*contact.failingSince, contact.watchingSince) : Core::duration {};
}

bool canRelayUpdates(const store_contact &contact, Core::time_point now)
{
    return !contact.failingSince || now - *contact.failingSince <= toleratedFailure;
}

Core::time_point relayCheckTime(Core::time_point failedAt)
{
    return failedAt + toleratedFailure + std::chrono::milliseconds(1);
}
} // namespace Exchange
