#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/PatchRequest.h"
#include "LibCore/Verify.h"

#include <cstddef>
#include <cstdint>

/// Whatever a patch holds, an accepted one makes the next number and is recognised when it is repeated.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const Configuration::patch_outcome base = Configuration::applyPatch(
        "", {0, "0-0123456789abcdef", R"({"data_centres":{"dc1":{"region":"r1"}},"tier":{"hedge_budget":0.05}})"});
    VERIFY(base.verdict == Configuration::patch_verdict::Applied);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const Configuration::patch_request request {
        base.number, "1-0123456789abcdef", {reinterpret_cast<const char *>(data), size}};
    const Configuration::patch_outcome outcome = Configuration::applyPatch(base.text, request);
    if (outcome.verdict == Configuration::patch_verdict::Applied) {
        VERIFY(outcome.number == base.number + 1);
        VERIFY(Configuration::applyPatch(outcome.text, request).verdict
               == Configuration::patch_verdict::AlreadyApplied);
    } else {
        VERIFY(!outcome.findings.empty());
    }
    return 0;
}
