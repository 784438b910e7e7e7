#include "Policy/FakeStore.h"

#include "LibConfiguration/Parse.h"

#include <memory>

namespace Bench
{
using Configuration::write_outcome;

static constexpr std::chrono::milliseconds storeDelay {3};
static constexpr std::chrono::seconds storeTimeout {2};
static constexpr std::chrono::seconds longestLateness {10};
static constexpr double latePart = 0.1; ///< Writes that arrive late.
static constexpr double lostPart = 0.2; ///< Replies that are lost.

static bool happens(Core::random_engine &random, double part)
{
    return std::bernoulli_distribution(part)(random);
}

std::string fake_store::tag() const
{
    return std::to_string(version);
}

bool fake_store::countCall()
{
    ++callsInSecond[std::chrono::duration_cast<std::chrono::seconds>(events.now().time_since_epoch()).count()];
    return up;
}

void fake_store::read(std::function<void(std::optional<std::string>, std::string)> done)
{
    if (!countCall()) {
        events.after(storeDelay, [done = std::move(done)] { done(std::nullopt, ""); });
        return;
    }
    const bool lost = happens(random, lostPart);
    events.after(
        lost ? Core::duration(storeTimeout) : Core::duration(storeDelay),
        [this, lost, done = std::move(done)] { done(lost || !up ? std::nullopt : std::optional(text), tag()); });
}

static void takeEffect(fake_store &store, std::uint64_t transaction, const std::string &newText)
{
    store.text = newText;
    ++store.version;
    const Configuration::configuration_document document = Configuration::parseDocument(newText).document;
    ++store.appliedById[document.recentPatchIds.back()];
    store.appliedByTransaction[transaction] = document.number;
}

void fake_store::write(std::uint64_t transaction, const std::string &newText, const std::string &expectedTag,
                       std::function<void(write_outcome)> done)
{
    if (!countCall()) {
        events.after(storeDelay, [done = std::move(done)] { done(write_outcome::NotSent); });
        return;
    }
    // Whichever comes first ends the call: the reply or the timeout.
    const auto waiting = std::make_shared<std::function<void(write_outcome)>>(std::move(done));
    const auto answer = [waiting](write_outcome outcome) {
        if (*waiting) {
            const auto end = std::move(*waiting);
            *waiting = nullptr;
            end(outcome);
        }
    };
    events.after(storeTimeout, [answer] { answer(write_outcome::NoReply); });
    Core::duration delay = storeDelay;
    if (happens(random, latePart)) {
        delay = std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(0, std::chrono::milliseconds(longestLateness).count())(random));
    }
    events.after(delay, [this, transaction, newText, expectedTag, answer] {
        if (!up) {
            return;
        }
        const bool matches = expectedTag == tag();
        if (matches) {
            takeEffect(*this, transaction, newText);
        }
        if (happens(random, lostPart)) {
            ++lostReplies;
            return;
        }
        answer(matches ? write_outcome::Written : write_outcome::Conflict);
    });
}
} // namespace Bench
