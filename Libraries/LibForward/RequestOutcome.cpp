#include "LibForward/RequestOutcome.h"

namespace Forward
{
const char *verdictName(request_verdict verdict)
{
    switch (verdict) {
    case request_verdict::Answered:
        return "answered";
    case request_verdict::ReplicaFailed:
        return "replica_failed";
    case request_verdict::NotRun:
        return "not_run";
    case request_verdict::Failed:
        return "failed";
    case request_verdict::TimedOut:
        return "timed_out";
    }
    return "failed";
}
} // namespace Forward
