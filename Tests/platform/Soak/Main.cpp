#include "Bounds.h"
#include "Caller.h"
#include "Disturber.h"
#include "Fleet.h"
#include "Judge.h"
#include "ObjectStore.h"
#include "Replica.h"
#include "SoakOptions.h"

#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "what happens, and when");
DEFINE_uint64(daemons, 4, "processes");
DEFINE_string(log_folder, "", "folder for the daemons' output");

namespace
{
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds lookPause {50};
/// A harness that stands still for so long delays what it plays, which looks like trouble with the links.
constexpr std::chrono::milliseconds longestStall {250};

/// The run: troubles, a calm time with planned work, troubles again, recovery, and a time in which all is served.
constexpr std::chrono::seconds startTime {4};
constexpr std::chrono::seconds stormTime {8};
constexpr std::chrono::seconds workTime {20};
constexpr std::chrono::seconds servedTime {5};
/// Within the planned work: once the troubles have ended and bounds hold, until after the limits are checked.
constexpr std::chrono::seconds limitsAfter {9};
constexpr std::chrono::seconds limitTime {10};

std::vector<std::unique_ptr<Soak::replica>> makeReplicas(boost::asio::io_context &loop, Front::timer_queue &timers,
                                                         Soak::judge &rules, std::uint64_t seed)
{
    std::vector<std::unique_ptr<Soak::replica>> replicas;
    for (const char *service : {"s0", "s1", "s2", "s3", "one", "two"}) {
        for (int index = 0; index < 3; ++index) {
            replicas.push_back(
                std::make_unique<Soak::replica>(loop, timers, rules, std::string(service) + "-" + std::to_string(index),
                                                service, index % 2 == 0 ? "z1" : "z2", seed * 100 + replicas.size()));
        }
    }
    return replicas;
}

int run(const Soak::soak_options &options)
{
    boost::asio::io_context loop {1};
    Front::timer_queue timers(loop);
    object_store store(loop);
    Soak::judge rules({"s0", "s1", "s2", "s3"});
    auto replicas = makeReplicas(loop, timers, rules, options.seed);
    Soak::fleet daemons(loop, rules, options, store.port());
    Soak::disturber::caller_list callers;
    for (std::size_t number = 0; number < options.callers; ++number) {
        callers.push_back(std::make_unique<Soak::caller>(loop, timers, rules, daemons, number,
                                                         options.seed * 1000 + number, options.callerPause));
    }
    Soak::disturber events(timers, rules, store, daemons, replicas, callers, options.seed);
    events.prepare();
    const auto start = std::chrono::steady_clock::now();
    const auto at = [&](std::chrono::milliseconds after, std::function<void()> work) {
        timers.schedule(start + after, [work = std::move(work)](Core::time_point) { work(); });
    };
    for (const auto &one : callers) {
        at(startTime, [&one]() { one->start(); });
    }
    const auto firstStorm = startTime + 1s;
    const auto secondStorm = firstStorm + stormTime + workTime;
    const auto recovered = secondStorm + stormTime + Soak::recoveryTime;
    const auto end = recovered + servedTime;
    at(firstStorm, [&]() { events.stormUntil(start + firstStorm + stormTime); });
    at(firstStorm + stormTime, [&]() { events.workUntil(start + secondStorm); });
    at(firstStorm + stormTime + limitsAfter, [&]() { events.limitRequests(options.seed, limitTime); });
    at(secondStorm, [&]() { events.stormUntil(start + secondStorm + stormTime); });
    at(recovered, [&]() { rules.beginRecoveryCheck(); });
    at(end - 2s, [&]() { rules.endRecoveryCheck(); });
    auto lookedAt = start;
    while (std::chrono::steady_clock::now() < start + end) {
        loop.restart();
        loop.run_for(lookPause);
        const auto now = std::chrono::steady_clock::now();
        if (now - lookedAt > longestStall) {
            rules.noteTrouble("the harness stood still");
        }
        lookedAt = now;
        events.look();
        daemons.look();
    }
    rules.finish();
    daemons.end();
    std::cout << "soak: seed " << options.seed << ", " << rules.summary() << '\n';
    return rules.findings().empty() ? 0 : 1;
}
} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Plays troubles against real daemons and checks what callers and replicas see.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Soak::soak_options options;
    options.seed = FLAGS_seed;
    options.daemons = FLAGS_daemons;
    options.logFolder = FLAGS_log_folder;
    return run(options);
}
