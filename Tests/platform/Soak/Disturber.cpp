#include "Disturber.h"

#include "Bounds.h"
#include "Caller.h"
#include "Judge.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <random>

namespace Soak
{
static constexpr std::chrono::milliseconds shortestGap {100}; ///< Between the begins of two troubles.
static constexpr std::chrono::milliseconds longestGap {700};
static constexpr std::size_t replicasPerService = 3;
static constexpr std::chrono::milliseconds workGap {900}; ///< Between two pieces of planned work, at least.

disturber::disturber(Front::timer_queue &timers, judge &rules, object_store &store, fleet &daemons,
                     std::vector<std::unique_ptr<replica>> &replicas, caller_list &callers, std::uint64_t seed)
    : m_timers(timers)
    , m_judge(rules)
    , m_store(store)
    , m_fleet(daemons)
    , m_replicas(replicas)
    , m_callers(callers)
    , m_random(seed)
{
}

std::chrono::milliseconds disturber::draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(shortest.count(), longest.count())(m_random));
}

std::size_t disturber::drawBelow(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

void disturber::prepare()
{
    writeConfiguration();
    for (const auto &place : m_replicas) {
        m_store.put("servers", place->id(), place->entry("ready"));
    }
}

static boost::json::object route(const std::string &name, const std::string &kind)
{
    return {{"name", name},       {"host", "h.example"}, {"path-prefix", "/" + name + "/"},
            {"route-type", kind}, {"timeout-ms", 1500},  {"target-latency-ms", 300},
            {"attempts", 2},      {"priority", 1}};
}

void disturber::writeConfiguration()
{
    m_version += 1 + drawBelow(5);
    const std::string moving = m_version % 2 == 0 ? "one" : "two";
    boost::json::object gather = route("g", "idempotent");
    gather["gather"] = {"s0", "s1", "s2", "s3"};
    gather["top-k"] = 4;
    gather["min-coverage"] = 0.5;
    boost::json::object single = route("p", "idempotent");
    single["backend"] = "one";
    boost::json::object once = route("o", "non_idempotent");
    once["backend"] = "two";
    boost::json::object moved = route("m", "idempotent");
    moved["backend"] = moving;
    boost::json::array services;
    for (const char *name : {"s0", "s1", "s2", "s3", "one", "two"}) {
        services.push_back(
            {{"name", name}, {"health-path", "/health"}, {"max-conns", 40}, {"warmup-s", 0}, {"warmup-per-s", 0}});
    }
    m_judge.noteConfiguration(m_version, moving);
    m_store.put("config", "main",
                boost::json::object {{"version", m_version},
                                     {"routes", {gather, single, once, moved}},
                                     {"services", services},
                                     {"limits",
                                      {{"max-header-bytes", 16384},
                                       {"max-body-bytes", 262144},
                                       {"header-timeout-ms", 3000},
                                       {"idle-timeout-ms", 15000}}}});
    for (const auto &one : m_callers) {
        one->setConfiguration(m_version);
    }
}

void disturber::stormUntil(std::chrono::steady_clock::time_point end)
{
    m_timers.schedule(std::chrono::steady_clock::now() + draw(shortestGap, longestGap),
                      [this, end](Core::time_point now) {
                          if (now < end) {
                              beginTrouble();
                              stormUntil(end);
                          }
                      });
}

void disturber::workUntil(std::chrono::steady_clock::time_point end)
{
    m_timers.schedule(std::chrono::steady_clock::now() + draw(workGap, 2 * workGap), [this, end](Core::time_point now) {
        if (now < end) {
            beginWork();
            workUntil(end);
        }
    });
}

void disturber::look()
{
    if (m_lasting > 0) {
        m_judge.noteTrouble("");
    }
}

void disturber::endLater(std::chrono::milliseconds longest, std::function<void()> end)
{
    ++m_lasting;
    m_timers.schedule(std::chrono::steady_clock::now() + draw(longest / 10, longest),
                      [this, end = std::move(end)](Core::time_point) {
                          end();
                          --m_lasting;
                          m_judge.noteTrouble("");
                      });
}

void disturber::beginTrouble()
{
    const std::size_t what = drawBelow(10);
    if (what < 4) {
        troubleDaemon(drawBelow(m_fleet.size()), static_cast<int>(drawBelow(7)));
    } else if (what < 8) {
        troubleReplica(*m_replicas[drawBelow(m_replicas.size())], static_cast<int>(drawBelow(12)));
    } else if (what < 9) {
        troubleStore(static_cast<int>(drawBelow(5)));
    } else {
        beginWork();
    }
}

void disturber::troubleDaemon(std::size_t daemon, int which)
{
    const std::string name = "daemon " + std::to_string(daemon);
    switch (which) {
    case 0:
        m_judge.noteTrouble(name + " is killed");
        m_fleet.kill(daemon);
        endLater(1500ms, []() {});
        return;
    case 1:
        m_judge.noteTrouble(name + " is paused");
        m_fleet.pause(daemon);
        endLater(3000ms, [this, daemon]() { m_fleet.resume(daemon); });
        return;
    case 2:
    case 3: {
        const bool isSilent = which == 2;
        m_judge.noteTrouble(name + (isSilent ? ": silent link to the store" : ": one-way link to the store"));
        m_fleet.storeLink(daemon).setMode(isSilent ? link_mode::Silent : link_mode::OneWay);
        endLater(4000ms, [this, daemon]() { m_fleet.storeLink(daemon).setMode(link_mode::Open); });
        return;
    }
    case 4:
        m_judge.noteTrouble(name + ": connections to the store are reset");
        m_fleet.storeLink(daemon).resetAll();
        return;
    case 5:
        m_judge.noteTrouble(name + " is stopped and killed in the middle");
        m_fleet.stopPlanned(daemon);
        endLater(1000ms, [this, daemon]() { m_fleet.kill(daemon); });
        return;
    default:
        m_judge.noteTrouble(name + " is told to reload while it is stopped");
        m_fleet.reloadSettings(daemon);
        m_fleet.stopPlanned(daemon);
        return;
    }
}

void disturber::troubleReplica(replica &place, int which)
{
    if (!place.isRunning()) {
        return;
    }
    static constexpr replica_fault faults[] = {replica_fault::Slow,   replica_fault::Failing, replica_fault::Hanging,
                                               replica_fault::Losing, replica_fault::Extra,   replica_fault::Short,
                                               replica_fault::Full};
    constexpr int faultCount = std::size(faults);
    if (which < faultCount) {
        m_judge.noteTrouble(place.id() + " has fault " + std::to_string(which));
        place.setFault(faults[which]);
        endLater(4000ms, [&place]() { place.setFault(replica_fault::None); });
        return;
    }
    switch (which - faultCount) {
    case 0:
        m_judge.noteTrouble(place.id() + " crashes");
        place.crash();
        endLater(3000ms, [this, &place]() {
            place.start();
            m_store.put("servers", place.id(), place.entry("ready"));
        });
        return;
    case 1:
        m_judge.noteTrouble(place.id() + ": silent link");
        place.path().setMode(link_mode::Silent);
        endLater(3000ms, [&place]() { place.path().setMode(link_mode::Open); });
        return;
    case 2:
        m_judge.noteTrouble(place.id() + ": one-way link");
        place.path().setMode(link_mode::OneWay);
        endLater(3000ms, [&place]() { place.path().setMode(link_mode::Open); });
        return;
    case 3:
        m_judge.noteTrouble(place.id() + ": slow link");
        place.path().setDelay(draw(10ms, 150ms));
        endLater(3000ms, [&place]() { place.path().setDelay({}); });
        return;
    default:
        m_judge.noteTrouble(place.id() + ": connections are reset");
        place.path().resetAll();
        return;
    }
}

void disturber::troubleStore(int which)
{
    switch (which) {
    case 0:
        m_judge.noteTrouble("the store refuses");
        m_store.injectFault(store_fault::Refusing);
        break;
    case 1:
        m_judge.noteTrouble("the store loses answers");
        m_store.injectFault(store_fault::LosingResponses);
        break;
    case 2:
        m_judge.noteTrouble("the store forgets its history");
        m_store.dropHistory();
        return;
    case 3:
        m_judge.noteTrouble("the store is silent and every registration lapses");
        m_store.injectFault(store_fault::Silent);
        for (const auto &place : m_replicas) {
            m_store.remove("servers", place->id());
        }
        endLater(4000ms, [this]() {
            m_store.injectFault(store_fault::None);
            endLater(1800ms, [this]() {
                for (const auto &place : m_replicas) {
                    if (place->isRunning()) {
                        m_store.put("servers", place->id(), place->entry("ready"));
                    }
                }
            });
        });
        return;
    default:
        m_judge.noteTrouble("the store is silent");
        m_store.injectFault(store_fault::Silent);
        break;
    }
    endLater(4000ms, [this]() { m_store.injectFault(store_fault::None); });
}

void disturber::beginWork()
{
    switch (drawBelow(5)) {
    case 0:
    case 1:
        writeConfiguration();
        m_judge.noteWork("configuration " + std::to_string(m_version));
        return;
    case 2:
        drain(*m_replicas[drawBelow(m_replicas.size())]);
        return;
    case 3: {
        const std::size_t daemon = drawBelow(m_fleet.size());
        m_judge.noteWork("daemon " + std::to_string(daemon) + " is told to reload, then to stop");
        m_fleet.reloadSettings(daemon);
        m_fleet.stopPlanned(daemon);
        return;
    }
    default:
        evacuate();
        return;
    }
}

void disturber::drain(replica &place)
{
    constexpr std::chrono::milliseconds emptyTime {400}; // Beyond the drain time, until the replica is back.
    if (m_draining || m_evacuating || !place.isRunning()) {
        return;
    }
    m_draining = true;
    m_judge.noteWork(place.id() + " leaves");
    // Some replicas leave without a word.
    if (drawBelow(2) == 0) {
        m_store.put("servers", place.id(), place.entry("draining"));
    } else {
        m_store.remove("servers", place.id());
    }
    place.announceLeaving();
    m_judge.noteLeaving(place.id());
    m_timers.schedule(std::chrono::steady_clock::now() + drainTime + emptyTime, [this, &place](Core::time_point) {
        m_draining = false;
        if (place.isRunning()) {
            place.crash();
            place.start();
        }
        m_judge.noteReady(place.id());
        m_store.put("servers", place.id(), place.entry("ready"));
    });
}

void disturber::evacuate()
{
    constexpr std::chrono::seconds outTime {7}; // Two beyond the bound, so that it is checked.
    if (m_draining || m_evacuating) {
        return;
    }
    m_evacuating = true;
    m_judge.noteWork("z2 is taken out");
    m_store.put("evacuations", "z2", boost::json::object {{"zone", "z2"}});
    m_judge.noteEvacuated("z2", true);
    m_timers.schedule(std::chrono::steady_clock::now() + outTime, [this](Core::time_point) {
        m_evacuating = false;
        m_judge.noteEvacuated("z2", false);
        m_store.remove("evacuations", "z2");
    });
}

void disturber::limitRequests(std::size_t service, std::chrono::milliseconds length)
{
    constexpr double perSecond = 4.0; // A part of the usual rate.
    for (std::size_t index = 0; index + 1 < replicasPerService; ++index) {
        replica &place = *m_replicas[(service * replicasPerService + index) % m_replicas.size()];
        m_judge.noteWork(place.id() + " states a request limit");
        place.setRequestLimit(perSecond);
        m_timers.schedule(std::chrono::steady_clock::now() + length,
                          [&place](Core::time_point) { place.setRequestLimit(0.0); });
    }
}
} // namespace Soak
