#pragma once

namespace Observability
{
/// How urgent a log record is.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};
} // namespace Observability
