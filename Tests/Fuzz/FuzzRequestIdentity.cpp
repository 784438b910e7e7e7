#include "LibCore/Verify.h"
#include "LibQuery/RequestIdentityText.h"

#include <cstddef>
#include <cstdint>

/// Every id that is accepted reads back the same after it was written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const auto identity = Query::parseRequestIdentity({reinterpret_cast<const char *>(data), size});
    if (identity) {
        VERIFY(Query::parseRequestIdentity(Query::formatRequestIdentity(*identity)) == identity);
    }
    return 0;
}
