#include "LibHttp/StatusKind.h"

namespace Http
{
static constexpr unsigned firstInterimStatus = 100;
static constexpr unsigned firstFinalStatus = 200;
static constexpr unsigned lastFinalStatus = 599;

status_kind statusKindOf(unsigned status)
{
    if (status < firstInterimStatus || status > lastFinalStatus) {
        return status_kind::Invalid;
    }
    return status < firstFinalStatus ? status_kind::Interim : status_kind::Final;
}
} // namespace Http
