#include "LibFront/RequestKind.h"

#include "LibForward/Route.h"

namespace Front
{
request_kind kindOf(const Forward::route &matched)
{
    if (matched.isScatterGather()) {
        return request_kind::Part;
    }
    return matched.retryPolicy == Forward::retry_policy::AtMostOnce ? request_kind::AtMostOnce
                                                                    : request_kind::Idempotent;
}
} // namespace Front
