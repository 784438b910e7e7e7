#include "LibConfiguration/PatchEvents.h"

#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/PatchTransaction.h"

#include <utility>

namespace Configuration
{
static constexpr int maximumWrites = 3;

static patch_step finish(patch_answer answer)
{
    patch_step step;
    step.answer = std::move(answer);
    return step;
}

static patch_step abandonTransaction(const patch_transaction &transaction)
{
    patch_answer answer;
    answer.result = transaction.uncertain ? patch_result::Unknown : patch_result::NotWritten;
    return finish(std::move(answer));
}

static patch_step writeStep(patch_transaction &transaction, patch_outcome outcome, std::string_view tag)
{
    if (transaction.writes == maximumWrites) {
        return abandonTransaction(transaction);
    }
    ++transaction.writes;
    transaction.pendingNumber = outcome.number;
    transaction.pendingText = std::move(outcome.text);
    patch_step step;
    step.text = transaction.pendingText;
    step.expectedTag = tag;
    return step;
}

patch_step startTransaction(patch_transaction &transaction, patch_request request)
{
    transaction = patch_transaction();
    transaction.request = std::move(request);
    return {};
}

patch_step onRead(patch_transaction &transaction, std::string_view text, std::string_view tag)
{
    patch_outcome outcome = applyPatch(text, transaction.request);
    patch_answer answer;
    answer.number = outcome.number;
    switch (outcome.verdict) {
    case patch_verdict::Applied:
        return writeStep(transaction, std::move(outcome), tag);
    case patch_verdict::AlreadyApplied:
        answer.result = patch_result::Accepted;
        break;
    case patch_verdict::StaleNumber:
        answer.result = patch_result::Stale;
        break;
    case patch_verdict::IdExpired:
        answer.result = transaction.uncertain ? patch_result::Unknown : patch_result::IdExpired;
        break;
    case patch_verdict::Invalid:
        // If an earlier write had no reply, a finding in the stored document does not show whether that write took
        // effect, because the document was valid when this transaction read it.
        answer.result = transaction.uncertain ? patch_result::Unknown : patch_result::Invalid;
        answer.findings = std::move(outcome.findings);
        break;
    }
    return finish(std::move(answer));
}

patch_step onReadFailed(patch_transaction &transaction)
{
    return abandonTransaction(transaction);
}

patch_step onWritten(patch_transaction &transaction, write_outcome outcome)
{
    switch (outcome) {
    case write_outcome::Written: {
        patch_answer answer;
        answer.result = patch_result::Accepted;
        answer.number = transaction.pendingNumber;
        answer.text = std::move(transaction.pendingText);
        return finish(std::move(answer));
    }
    case write_outcome::NotSent:
        return abandonTransaction(transaction);
    case write_outcome::Conflict:
        return {};
    case write_outcome::NoReply:
        transaction.uncertain = true;
        return {};
    }
    return {};
}
} // namespace Configuration
