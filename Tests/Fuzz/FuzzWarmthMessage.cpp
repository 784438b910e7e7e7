#include "LibPlatform/SlowStartCodec.h"
#include "LibPlatform/SlowStartMessage.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// What a peer sends is refused or decodes to something that is encoded and decoded again without a change.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const auto decoded = Platform::decodeSlowStart({reinterpret_cast<const char *>(data), size});
    if (!decoded) {
        return 0;
    }
    const auto again = Platform::decodeSlowStart(Platform::encodeSlowStart(*decoded));
    if (!again || again->records != decoded->records || again->claims != decoded->claims) {
        std::abort();
    }
    return 0;
}
