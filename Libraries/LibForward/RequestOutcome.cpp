#include "LibForward/RequestOutcome.h"

namespace Forward
{
const char *requestOutcomeName(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::Answered:
        return "answered";
    case request_outcome::ReplicaFailed:
        return "replica_failed";
    case request_outcome::NotRun:
        return "not_run";
    case request_outcome::Failed:
        return "failed";
    case request_outcome::TimedOut:
        return "timed_out";
    }
    return "failed";
}
} // namespace Forward
