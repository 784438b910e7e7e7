#include "LibConfiguration/Limits.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchEvents.h"
#include "LibConfiguration/PatchId.h"
#include "LibConfiguration/PatchTransaction.h"

#include <gtest/gtest.h>

using Configuration::patch_result;
using Configuration::write_outcome;

namespace
{
const std::string firstPatch = R"({"data_centres":{"dc1":{"region":"r1"}}})";
const std::string laterPatch = R"({"tier":{"hedge_budget":0.01}})";

/// An in-memory document with conditional writes by tag, like those of the platform's store.
struct in_memory_store {
    std::string text;
    int version = 0;

    std::string tag() const
    {
        return version == 0 ? "" : std::to_string(version);
    }

    bool write(const std::string &newText, const std::string &expectedTag)
    {
        if (expectedTag != tag()) {
            return false;
        }
        text = newText;
        ++version;
        return true;
    }
};

Configuration::patch_answer runTransaction(in_memory_store &store, const Configuration::patch_request &request)
{
    Configuration::patch_transaction transaction;
    Configuration::patch_step step = Configuration::startTransaction(transaction, request);
    while (!step.answer) {
        if (step.text) {
            const bool written = store.write(*step.text, step.expectedTag);
            step = Configuration::onWritten(transaction, written ? write_outcome::Written : write_outcome::Conflict);
        } else {
            step = Configuration::onRead(transaction, store.text, store.tag());
        }
    }
    return *step.answer;
}
} // namespace

TEST(PatchEvents, ResolvesWriteWithoutReplyByReadingBack)
{
    in_memory_store store;
    Configuration::patch_transaction transaction;
    static_cast<void>(Configuration::startTransaction(transaction, {0, "0-a", firstPatch}));
    Configuration::patch_step step = Configuration::onRead(transaction, store.text, store.tag());
    ASSERT_TRUE(store.write(step.text.value(), step.expectedTag));
    step = Configuration::onWritten(transaction, write_outcome::NoReply);
    ASSERT_FALSE(step.answer || step.text) << "the next step must be a read";
    step = Configuration::onRead(transaction, store.text, store.tag());
    ASSERT_TRUE(step.answer);
    EXPECT_EQ(step.answer->result, patch_result::Accepted);
    EXPECT_EQ(step.answer->number, 1U);
    EXPECT_EQ(store.version, 1);
}

TEST(PatchEvents, ReturnsNotWrittenBeforeWriteAndUnknownAfterWriteWhenStoreFails)
{
    Configuration::patch_transaction transaction;
    static_cast<void>(Configuration::startTransaction(transaction, {0, "0-a", firstPatch}));
    EXPECT_EQ(Configuration::onReadFailed(transaction).answer.value().result, patch_result::NotWritten);
    static_cast<void>(Configuration::startTransaction(transaction, {0, "0-a", firstPatch}));
    static_cast<void>(Configuration::onRead(transaction, "", ""));
    EXPECT_EQ(Configuration::onWritten(transaction, write_outcome::NotSent).answer.value().result,
              patch_result::NotWritten);
    static_cast<void>(Configuration::startTransaction(transaction, {0, "0-a", firstPatch}));
    static_cast<void>(Configuration::onRead(transaction, "", ""));
    static_cast<void>(Configuration::onWritten(transaction, write_outcome::NoReply));
    EXPECT_EQ(Configuration::onReadFailed(transaction).answer.value().result, patch_result::Unknown);
}

TEST(PatchEvents, ReturnsStaleWithCurrentNumberWhenDelayedWriteConflicts)
{
    in_memory_store store;
    ASSERT_EQ(runTransaction(store, {0, "0-a", firstPatch}).number, 1U);
    Configuration::patch_transaction delayed;
    static_cast<void>(Configuration::startTransaction(delayed, {1, "1-p", laterPatch}));
    Configuration::patch_step step = Configuration::onRead(delayed, store.text, store.tag());
    ASSERT_EQ(runTransaction(store, {1, "1-b", R"({"tier":{"hedge_budget":0.02}})"}).number, 2U);
    ASSERT_FALSE(store.write(step.text.value(), step.expectedTag));
    static_cast<void>(Configuration::onWritten(delayed, write_outcome::Conflict));
    step = Configuration::onRead(delayed, store.text, store.tag());
    EXPECT_EQ(step.answer.value().result, patch_result::Stale);
    EXPECT_EQ(step.answer.value().number, 2U);
    EXPECT_DOUBLE_EQ(Configuration::parseDocument(store.text).document.tier.hedgeBudget, 0.02);
}

TEST(PatchEvents, DoesNotReapplyResentPatchWithNewerBaseNumber)
{
    in_memory_store store;
    ASSERT_EQ(runTransaction(store, {0, "0-a", firstPatch}).number, 1U);
    ASSERT_EQ(runTransaction(store, {1, "1-b", laterPatch}).number, 2U);
    const auto resent = runTransaction(store, {2, "0-a", firstPatch});
    EXPECT_EQ(resent.result, patch_result::Accepted);
    EXPECT_EQ(resent.number, 1U) << "expected the number that the patch produced, not the current one";
    EXPECT_EQ(store.version, 2);
}

TEST(PatchEvents, DoesNotReapplyResentPatchWhoseIdHasExpired)
{
    in_memory_store store;
    ASSERT_EQ(runTransaction(store, {0, "0-a", firstPatch}).number, 1U);
    for (std::uint64_t number = 1; number <= Configuration::maximumRecentPatchIds; ++number) {
        ASSERT_EQ(runTransaction(store, {number, Configuration::makePatchId(number, "n"), laterPatch}).number,
                  number + 1);
    }
    const std::uint64_t current = Configuration::maximumRecentPatchIds + 1;
    EXPECT_EQ(runTransaction(store, {current, "0-a", firstPatch}).result, patch_result::IdExpired);
    EXPECT_EQ(runTransaction(store, {current, "1-n", laterPatch}).result, patch_result::Accepted);
    EXPECT_EQ(Configuration::parseDocument(store.text).document.number, current);
}
