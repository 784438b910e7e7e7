#include "LibExchange/FeedReason.h"

namespace Exchange
{
const char *feedReasonName(feed_reason reason)
{
    switch (reason) {
    case feed_reason::Assigned:
        return "assigned";
    case feed_reason::NoSources:
        return "no_sources";
    case feed_reason::NoSourceAnswers:
        return "no_source_answers";
    case feed_reason::NoPeerContact:
        return "no_peer_contact";
    case feed_reason::Lagging:
        return "lagging";
    case feed_reason::StoreUnreachable:
        return "store_unreachable";
    }
    return "unknown";
}
} // namespace Exchange
