#include "LibBackend/CancellationRecord.h"

namespace Backend
{
static constexpr double newestWeight = 0.05;

void recordCancellationHonoured(cancellation_record &record)
{
    record.honouredPart += newestWeight * (1.0 - record.honouredPart);
}

void recordCancellationIgnored(cancellation_record &record)
{
    record.honouredPart -= newestWeight * record.honouredPart;
}
} // namespace Backend
