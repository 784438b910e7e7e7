#include "LibConfiguration/Parse.h"
#include "LibCore/Verify.h"

#include <cstddef>
#include <cstdint>

/// A document without findings reads back the same after it was written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const Configuration::parsed_document parsed =
        Configuration::parseDocument({reinterpret_cast<const char *>(data), size});
    if (parsed.findings.empty()) {
        const auto again = Configuration::parseDocument(Configuration::serializeDocument(parsed.document));
        VERIFY(again.findings.empty());
        VERIFY(again.document == parsed.document);
    }
    return 0;
}
