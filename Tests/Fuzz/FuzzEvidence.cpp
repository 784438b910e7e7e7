#include "InputText.h"
#include "LibCore/Verify.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/EvidenceCodec.h"

/// Evidence that decodes is of bounded size, reads back the same after it was written, merges idempotently, and can be
/// judged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto evidence = Rollout::decodeEvidence(inputText(data, size));
    if (!evidence) {
        return 0;
    }
    VERIFY(evidence->daemons.size() <= Rollout::maximumDaemonRows);
    std::uint64_t after = 0;
    constexpr std::size_t enough = 1'000'000;
    VERIFY(Rollout::decodeEvidence(Rollout::encodeEvidence(*evidence, enough, after)) == evidence);
    Rollout::rollout_evidence merged = *evidence;
    Rollout::mergeEvidence(merged, *evidence);
    VERIFY(merged == *evidence);
    const Core::wall_time now {std::chrono::seconds(4001)};
    static_cast<void>(Rollout::evaluateEvidence(merged, now));
    return 0;
}
