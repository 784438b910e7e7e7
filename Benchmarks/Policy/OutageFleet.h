#pragma once

#include "LibConfiguration/PatchStep.h"
#include "LibConfiguration/PatchTransaction.h"
#include "LibConfiguration/WatchState.h"
#include "Policy/FakeStore.h"
#include "Policy/ResendId.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Bench
{
/// VMs that watch a fake store, hand on by gossip, write operators' patches and are replaced, on virtual time. They
/// take every decision with the functions that the daemon runs.
struct outage_fleet {
    /// One VM. Replacing it makes a new incarnation that remembers nothing.
    struct machine {
        std::uint64_t number = 0;
        std::uint64_t incarnation = 0;
        std::string text;
        Configuration::watch_state watch;
    };
    /// One operator's change, sent until it is accepted or given up.
    struct change {
        std::uint64_t key = 0;
        std::uint64_t base = 0;
        std::string patchId;
        std::vector<std::string> usedIds;
        int sends = 0;
    };

    outage_fleet(std::size_t machineCount, resend_id ids, std::uint64_t seed);

    /// Runs 10 minutes, an hour with the store down, and 20 minutes after its return.
    void run();

    Core::random_engine random;
    event_queue events;
    fake_store store;
    resend_id ids;
    std::vector<machine> machines;
    std::vector<std::shared_ptr<change>> changes;
    std::uint64_t transactions = 0;
    std::uint64_t reverts = 0; ///< Adoptions of a lower number within one incarnation.
    std::uint64_t falseAnswers = 0; ///< Answers that the store's record contradicts.
    std::uint64_t staleFreshMachines = 0; ///< Replaced VMs below the newest number of a live VM after 7 s.
    std::uint64_t replaced = 0;
    std::uint64_t acceptedInOutage = 0;
    std::int64_t returnSecond = 0; ///< When the store came back.

private:
    void adopt(std::size_t index, std::uint64_t incarnation, const std::string &text);
    void callStore(std::size_t index, std::uint64_t incarnation);
    void endStoreCall(std::size_t index, std::uint64_t incarnation, bool succeeded);
    void gossip(std::size_t index, std::uint64_t incarnation);
    void replaceOne();
    void submitChange();
    void sendChange(const std::shared_ptr<change> &sent);
    void carryOut(const std::shared_ptr<Configuration::patch_transaction> &transaction, Configuration::patch_step step,
                  const std::shared_ptr<change> &sent, std::uint64_t number, std::size_t writer);
    void onAnswer(const Configuration::patch_answer &answer, const std::shared_ptr<change> &sent, std::uint64_t number);
    std::size_t pickMachine();
    Core::duration pause();

    std::vector<std::uint64_t> m_settledUnwritten; ///< Transactions that said that nothing was written.
};
} // namespace Bench
