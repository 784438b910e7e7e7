#include "LibFront/ReplyHead.h"

#include "LibFront/ResponseFault.h"
#include "LibHttp/StatusKind.h"

namespace Front
{
std::optional<response_fault> findHeadFault(const reply_head &head)
{
    if (Http::statusKindOf(head.result_int()) == Http::status_kind::Invalid) {
        return response_fault::Status;
    }
    return std::nullopt;
}
} // namespace Front
