#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibQuery/ShardAnswer.h"

#include <cstddef>
#include <cstdint>

/// Any body with any status decodes to an answer or a failure.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    Platform::call_outcome outcome;
    outcome.response.status = data[0] < 128 ? 200 : 503;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    outcome.response.body.assign(reinterpret_cast<const char *>(data) + 1, size - 1);
    static_cast<void>(Platform::decodeShardAnswer(outcome));
    return 0;
}
