#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/EvidenceCodec.h"
#include "LibTeams/Accounts.h"
#include "LibTeams/UsageCodec.h"
#include "LibTeams/UsageExchange.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Any bytes from a peer or of an accounts object are refused, or merge and judge without harm.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libFuzzer hands over bytes.
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const Core::wall_time now {std::chrono::seconds(4001)};
    if (const auto usage = Teams::decodeUsage(text)) {
        Teams::usage_exchange exchange;
        Teams::updateUsage(exchange, {}, now);
        Teams::mergeUsage(exchange, *usage, now);
        static_cast<void>(Teams::encodeUsage(Teams::splitUsage(exchange)));
        static_cast<void>(Teams::totalUsage(exchange, 9, now));
    }
    if (auto evidence = Rollout::decodeEvidence(text)) {
        static_cast<void>(Rollout::evaluateEvidence(*evidence, now));
        std::uint64_t after = 0;
        static_cast<void>(Rollout::encodeEvidence(*evidence, size, after));
    }
    if (const auto page = Teams::decodePage(text)) {
        static_cast<void>(Teams::encodePage(page.value()));
    }
    return 0;
}
