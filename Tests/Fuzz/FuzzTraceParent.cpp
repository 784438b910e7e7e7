#include "LibCore/Verify.h"
#include "LibObservability/TraceParent.h"

#include <cstddef>
#include <cstdint>

/// Every header that is accepted names the same span after it was written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const auto context = Observability::parseTraceParent({reinterpret_cast<const char *>(data), size});
    if (context) {
        const auto again = Observability::parseTraceParent(Observability::formatTraceParent(*context));
        VERIFY(again && again->traceId == context->traceId && again->spanId == context->spanId);
    }
    return 0;
}
