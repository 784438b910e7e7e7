#include "Fleet.h"

#include "Bounds.h"
#include "Judge.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <unistd.h>

namespace Soak
{
static constexpr std::chrono::milliseconds restartPause {500};
static constexpr std::uint16_t firstPort = 20'000; ///< Below those that the system gives out by itself.

/// Ports that are the same at every daemon, as on the platform.
enum class port_use { Callers, Readiness, Directory, Control, Peers };

fleet::fleet(boost::asio::io_context &loop, judge &rules, const soak_options &options, std::uint16_t storePort)
    : m_judge(rules)
    , m_options(options)
{
    // Runs at the same time, of the same seed too, must not meet: the process's id makes the network.
    constexpr pid_t parts = 250;
    const pid_t own = getpid();
    const std::string network =
        "127." + std::to_string(1 + own / parts % parts) + "." + std::to_string(own % parts) + ".";
    for (std::size_t index = 0; index < options.daemons; ++index) {
        daemon_place place;
        place.address = network + std::to_string(10 + index);
        place.dataCentre = index % 2 == 0 ? "z1" : "z2";
        place.storeLink = std::make_unique<link>(loop, storePort);
        m_daemons.push_back(std::move(place));
    }
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        start(index);
    }
}

static std::string withPort(const std::string &address, port_use use)
{
    return address + ":" + std::to_string(firstPort + static_cast<int>(use));
}

std::string fleet::settingsOf(std::size_t daemon) const
{
    const daemon_place &own = m_daemons[daemon];
    const auto at = [&](port_use use) {
        return withPort(own.address, use);
    };
    boost::json::array seeds;
    for (std::size_t index = 0; index < std::min<std::size_t>(m_daemons.size(), 3); ++index) {
        seeds.emplace_back(withPort(m_daemons[index].address, port_use::Control));
    }
    const int peers = firstPort + static_cast<int>(port_use::Peers);
    const auto milliseconds = [](auto time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    return boost::json::serialize(boost::json::object {
        {"node-name", "front-" + std::to_string(daemon)},
        {"ip", own.address},
        {"zone", own.dataCentre},
        {"region", own.dataCentre == "z1" ? "r1" : "r2"},
        {"zones", {{"z1", "r1"}, {"z2", "r2"}}},
        {"listen-addrs",
         {{"front", at(port_use::Callers)},
          {"readiness", at(port_use::Readiness)},
          {"directory", at(port_use::Directory)},
          {"control", at(port_use::Control)}}},
        {"port-range", {peers, peers}},
        {"seeds", seeds},
        {"limits", {{"cpu-share", daemon % 3 == 0 ? 0.5 : 0.12}, {"cores", 1}}}, // VMs of unequal size.
        {"fault-tolerance", {{"machines", 1}}},
        {"bounds",
         {{"grace-s", stopGrace.count()},
          {"ttl_max_s", 2},
          {"drain-ms", milliseconds(drainTime)},
          {"retry-budget-ratio", repeatRatio},
          {"retry-window-s", repeatWindow.count()},
          {"retry-budget-slack", repeatSlack}}},
        {"platform", {{"address", own.storeLink->address()}}},
    });
}

void fleet::start(std::size_t daemon)
{
    daemon_place &place = m_daemons[daemon];
    const std::string log =
        m_options.logFolder.empty() ? "/dev/null" : m_options.logFolder + "/daemon-" + std::to_string(daemon) + ".log";
    place.process = std::make_unique<daemon_process>(settingsOf(daemon), log);
    place.is = state::Running;
    place.since = std::chrono::steady_clock::now();
}

std::size_t fleet::size() const
{
    return m_daemons.size();
}

std::string fleet::callerAddress(std::size_t daemon) const
{
    return withPort(m_daemons[daemon].address, port_use::Callers);
}

std::string fleet::directoryAddress(std::size_t daemon) const
{
    return withPort(m_daemons[daemon].address, port_use::Directory);
}

std::string fleet::readinessAddress(std::size_t daemon) const
{
    return withPort(m_daemons[daemon].address, port_use::Readiness);
}

link &fleet::storeLink(std::size_t daemon)
{
    return *m_daemons[daemon].storeLink;
}

void fleet::kill(std::size_t daemon)
{
    daemon_place &place = m_daemons[daemon];
    if (place.process) {
        place.process->signal(SIGKILL);
        place.is = state::Killed;
        place.since = std::chrono::steady_clock::now();
    }
}

void fleet::pause(std::size_t daemon)
{
    if (m_daemons[daemon].process) {
        m_daemons[daemon].process->signal(SIGSTOP);
    }
}

void fleet::resume(std::size_t daemon)
{
    if (m_daemons[daemon].process) {
        m_daemons[daemon].process->signal(SIGCONT);
    }
}

void fleet::stopPlanned(std::size_t daemon)
{
    daemon_place &place = m_daemons[daemon];
    if (place.process && place.is == state::Running) {
        place.process->signal(SIGTERM);
        place.is = state::Stopping;
        place.since = std::chrono::steady_clock::now();
    }
}

void fleet::reloadSettings(std::size_t daemon)
{
    if (m_daemons[daemon].process) {
        m_daemons[daemon].process->signal(SIGHUP);
    }
}

bool fleet::isInPlannedStop(std::size_t daemon) const
{
    return m_daemons[daemon].is == state::Stopping;
}

bool fleet::isRunning(std::size_t daemon) const
{
    return m_daemons[daemon].process && m_daemons[daemon].is == state::Running;
}

void fleet::look()
{
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        daemon_place &place = m_daemons[index];
        if (!place.process) {
            if (now >= place.startAt) {
                start(index);
            }
            continue;
        }
        const std::optional<int> status = place.process->exitStatus();
        if (!status) {
            if (place.is == state::Stopping && now > place.since + stopGrace) {
                if (m_judge.isCalmSince(place.since)) {
                    m_judge.report("stop", "", "daemon " + std::to_string(index) + " outlived its grace");
                }
                kill(index);
            }
            continue;
        }
        if (place.is == state::Running || (place.is == state::Stopping && *status != 0)) {
            m_judge.report("ended", "",
                           "daemon " + std::to_string(index) + " ended by itself with " + std::to_string(*status));
        }
        place.process.reset();
        place.startAt = now + restartPause;
    }
}

void fleet::end()
{
    for (daemon_place &place : m_daemons) {
        place.process.reset();
    }
}
} // namespace Soak
