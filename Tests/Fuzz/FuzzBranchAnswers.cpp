#include "DecodeWords.h"
#include "LibCore/Verify.h"
#include "LibWire/BranchCodec.h"

#include <cmath>

/// Every score that decodes can be sorted, and no failure has a value that this version does not know.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto answers = decodeWords<Wire::Schema::BranchSink::AnswersParams>(data, size, Wire::decodeBranchAnswers);
    if (!answers) {
        return 0;
    }
    for (const Wire::branch_shard_answer &answer : answers->answers) {
        for (const Query::result_item &item : answer.items) {
            VERIFY(!std::isnan(item.score));
        }
    }
    for (const Wire::branch_shard_failure &failure : answers->failures) {
        VERIFY(failure.failure <= Backend::attempt_failure::InvalidResponse);
    }
    return 0;
}
