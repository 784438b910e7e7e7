#pragma once

#include "LibCore/Time.h"
#include "LibFront/HttpTypes.h"

namespace Forward
{
struct replica_key;
}

namespace Front
{
enum class reply_class;
struct front_environment;

/// Records what a response says of its replica beside the answer: its load, the limit on its request rate, that it
/// shuts down, and the time for which it wants no request. Changes are logged. Responses of another instance, and
/// malformed ones, say nothing of the replica.
void recordReplicaReport(front_environment &environment, const Forward::replica_key &key, const reply_message &reply,
                         reply_class kind, Core::time_point now);
} // namespace Front
