#pragma once

namespace Observability
{
/// Severity of a log record.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};
} // namespace Observability
