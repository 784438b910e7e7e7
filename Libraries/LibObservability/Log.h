#pragma once

#include "LibObservability/LogField.h"
#include "LibObservability/LogLevel.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Observability
{
/// Starts writing records of level `minimumLevel` or above to standard error, one JSON object per line, with the VM's
/// name.
void initializeLog(const std::string &virtualMachine, log_level minimumLevel);

/// Writes one record: time, level, VM, event and the given fields. `event` is a fixed lower-case name.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});
} // namespace Observability
