#include "Policy/OutageFleet.h"

#include "LibConfiguration/Adoption.h"
#include "LibConfiguration/PatchEvents.h"
#include "LibConfiguration/PatchId.h"
#include "LibConfiguration/WatchPlan.h"
#include "LibConfiguration/WatchView.h"

#include <algorithm>
#include <utility>

namespace Bench
{
using Configuration::patch_result;

static constexpr std::chrono::minutes beforeOutage {10};
static constexpr std::chrono::hours outage {1};
static constexpr std::chrono::minutes afterOutage {20};
static constexpr std::chrono::seconds changeInterval {41}; // 2,100 changes a day.
static constexpr std::chrono::seconds replaceInterval {66}; // 1,300 replacements a day.
static constexpr std::chrono::milliseconds gossipInterval {250};
static constexpr std::chrono::seconds longestMessageDelay {3};
static constexpr std::chrono::seconds freshBound {7};
static constexpr std::chrono::seconds resendInterval {20};
static constexpr std::chrono::seconds longestPause {30};
static constexpr int mostSends = 6;

outage_fleet::outage_fleet(std::size_t machineCount, resend_id resendIds, std::uint64_t seed)
    : random(seed)
    , store {events, random, true, R"({"number":1,"data_centres":{"dc0":{"region":"r0"}}})"}
    , ids(resendIds)
    , machines(machineCount)
{
}

std::size_t outage_fleet::pickMachine()
{
    return std::uniform_int_distribution<std::size_t>(0, machines.size() - 1)(random);
}

void outage_fleet::adopt(std::size_t index, std::uint64_t incarnation, const std::string &text)
{
    machine &target = machines[index];
    if (target.incarnation != incarnation || text == target.text) {
        return;
    }
    const Configuration::parsed_document offered = Configuration::parseOfferedDocument(text);
    if (!offered.findings.empty() || !Configuration::shouldAdopt(target.number, offered.document.number)) {
        return;
    }
    reverts += offered.document.number < target.number ? 1 : 0;
    target.number = offered.document.number;
    target.text = text;
}

static Configuration::watch_view viewOf(const outage_fleet &fleet, std::size_t index)
{
    return {index, fleet.machines.size(), fleet.machines[index].number};
}

void outage_fleet::endStoreCall(std::size_t index, std::uint64_t incarnation, bool succeeded)
{
    machine &target = machines[index];
    if (target.incarnation != incarnation) {
        return;
    }
    const Configuration::watch_view view = viewOf(*this, index);
    const Core::duration wait = succeeded ? Configuration::delayAfterSuccess(target.watch, view, random)
                                          : Configuration::delayAfterFailure(target.watch, view, random);
    events.after(wait, [this, index, incarnation] { callStore(index, incarnation); });
}

void outage_fleet::callStore(std::size_t index, std::uint64_t incarnation)
{
    if (machines[index].incarnation != incarnation) {
        return;
    }
    if (!store.countCall()) {
        endStoreCall(index, incarnation, false);
        return;
    }
    // A watch ends with the store's next change or after its longest wait; looking in steps stands for it.
    constexpr std::chrono::milliseconds step {100};
    const bool watches = Configuration::holdsWatch(viewOf(*this, index));
    const Core::time_point until =
        events.now() + (watches ? Core::duration(Configuration::maximumWatchDuration) : step);
    const auto look = std::make_shared<std::function<void()>>();
    const std::weak_ptr<std::function<void()>> again = look;
    *look = [this, index, incarnation, until, again, step] {
        const bool changed = store.up && store.text != machines[index].text;
        if (changed) {
            adopt(index, incarnation, store.text);
        }
        if (changed || !store.up || events.now() >= until) {
            endStoreCall(index, incarnation, store.up);
        } else if (const auto self = again.lock()) {
            events.after(step, [self] { (*self)(); });
        }
    };
    events.after(step, [look] { (*look)(); });
}

void outage_fleet::gossip(std::size_t index, std::uint64_t incarnation)
{
    if (machines[index].incarnation != incarnation) {
        return;
    }
    const machine &peer = machines[pickMachine()];
    if (peer.number != machines[index].number) {
        const auto delay = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(
            1, std::bernoulli_distribution(0.1)(random) ? std::chrono::milliseconds(longestMessageDelay).count() : 5)(
            random));
        events.after(delay, [this, index, incarnation, text = peer.text] { adopt(index, incarnation, text); });
    }
    events.after(gossipInterval, [this, index, incarnation] { gossip(index, incarnation); });
}

void outage_fleet::replaceOne()
{
    const std::size_t index = pickMachine();
    const std::uint64_t incarnation = machines[index].incarnation + 1;
    machines[index] = machine();
    machines[index].incarnation = incarnation;
    ++replaced;
    std::uint64_t newest = 0;
    for (const machine &other : machines) {
        newest = std::max(newest, other.number);
    }
    callStore(index, incarnation);
    gossip(index, incarnation);
    events.after(freshBound, [this, index, incarnation, newest] {
        const machine &fresh = machines[index];
        staleFreshMachines += fresh.incarnation == incarnation && fresh.number < newest ? 1 : 0;
    });
    events.after(replaceInterval, [this] { replaceOne(); });
}

void outage_fleet::submitChange()
{
    const auto submitted = std::make_shared<change>();
    submitted->key = changes.size() + 1;
    changes.push_back(submitted);
    sendChange(submitted);
    events.after(changeInterval, [this] { submitChange(); });
}

/// A writer may be paused between any two steps.
Core::duration outage_fleet::pause()
{
    if (!std::bernoulli_distribution(0.05)(random)) {
        return Core::duration::zero();
    }
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, std::chrono::milliseconds(longestPause).count())(random));
}

void outage_fleet::sendChange(const std::shared_ptr<change> &sent)
{
    if (sent->sends == mostSends) {
        return;
    }
    ++sent->sends;
    const std::size_t writer = pickMachine();
    sent->base = std::max(sent->base, machines[writer].number);
    if (sent->patchId.empty() || ids == resend_id::New) {
        sent->patchId =
            Configuration::makePatchId(sent->base, "k" + std::to_string(sent->key) + "s" + std::to_string(sent->sends));
        sent->usedIds.push_back(sent->patchId);
    }
    const std::string patch = R"({"tier":{"entry_time_to_live_ms":)" + std::to_string(1000 + sent->key) + "}}";
    const auto transaction = std::make_shared<Configuration::patch_transaction>();
    const Configuration::patch_step first =
        Configuration::startTransaction(*transaction, {sent->base, sent->patchId, patch});
    carryOut(transaction, first, sent, ++transactions, writer);
}

void outage_fleet::carryOut(const std::shared_ptr<Configuration::patch_transaction> &transaction,
                            Configuration::patch_step step, const std::shared_ptr<change> &sent, std::uint64_t number,
                            std::size_t writer)
{
    if (step.answer) {
        if (!step.answer->text.empty()) {
            adopt(writer, machines[writer].incarnation, step.answer->text);
        }
        onAnswer(*step.answer, sent, number);
        return;
    }
    events.after(pause(), [this, transaction, step, sent, number, writer] {
        const auto go = [this, transaction, sent, number, writer](Configuration::patch_step next) {
            carryOut(transaction, std::move(next), sent, number, writer);
        };
        if (step.text) {
            store.write(number, *step.text, step.expectedTag, [transaction, go](Configuration::write_outcome outcome) {
                go(Configuration::onWritten(*transaction, outcome));
            });
        } else {
            store.read([transaction, go](const std::optional<std::string> &text, const std::string &tag) {
                go(text ? Configuration::onRead(*transaction, *text, tag) : Configuration::onReadFailed(*transaction));
            });
        }
    });
}

void outage_fleet::onAnswer(const Configuration::patch_answer &answer, const std::shared_ptr<change> &sent,
                            std::uint64_t number)
{
    const bool applied = store.appliedById[sent->patchId] > 0;
    const auto resend = [this, sent] {
        events.after(resendInterval, [this, sent] { sendChange(sent); });
    };
    switch (answer.result) {
    case patch_result::Accepted:
        falseAnswers += applied ? 0 : 1;
        acceptedInOutage += store.up ? 0 : 1;
        break;
    case patch_result::Stale:
        falseAnswers += applied ? 1 : 0;
        m_settledUnwritten.push_back(number);
        sent->base = answer.number;
        resend();
        break;
    case patch_result::NotWritten:
        m_settledUnwritten.push_back(number);
        resend();
        break;
    case patch_result::Unknown:
        resend();
        break;
    case patch_result::IdExpired:
    case patch_result::Invalid:
        ++falseAnswers; // No change here is invalid or that old.
        break;
    }
}

void outage_fleet::run()
{
    const Core::time_point start = events.now();
    for (std::size_t index = 0; index < machines.size(); ++index) {
        callStore(index, 0);
        gossip(index, 0);
    }
    events.after(changeInterval, [this] { submitChange(); });
    // The second operator's changes meet the first one's.
    events.after(changeInterval + std::chrono::milliseconds(2), [this] { submitChange(); });
    events.after(replaceInterval, [this] { replaceOne(); });
    events.runUntil(start + beforeOutage);
    store.up = false;
    events.runUntil(start + beforeOutage + outage);
    store.up = true;
    returnSecond = std::chrono::duration_cast<std::chrono::seconds>(events.now().time_since_epoch()).count();
    events.runUntil(start + beforeOutage + outage + afterOutage);
    for (const std::uint64_t number : m_settledUnwritten) {
        falseAnswers += store.appliedByTransaction.contains(number) ? 1 : 0;
    }
}
} // namespace Bench
