#include "AttemptEnd.h"

const char *outcomeName(const attempt_end &end)
{
    const auto *failed = std::get_if<Backend::failed_attempt>(&end);
    if (failed == nullptr) {
        return "answered";
    }
    using Backend::attempt_failure;
    switch (failed->failure) {
    case attempt_failure::ConnectFailed:
        return "connect_failed";
    case attempt_failure::NotRun:
        return "not_run";
    case attempt_failure::SnapshotGone:
        return "snapshot_gone";
    case attempt_failure::ConnectionLost:
        return "connection_lost";
    case attempt_failure::ResponseTimeout:
        return "silent";
    case attempt_failure::InvalidResponse:
        return "faulty";
    case attempt_failure::Cancelled:
        return "cancelled";
    }
    return "unknown";
}
