#pragma once

#include "DaemonProcess.h"
#include "Link.h"
#include "SoakOptions.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Soak
{
class judge;

/// The daemons: real processes, each on a loopback address of its own and with a link of its own to the store.
class fleet
{
public:
    fleet(boost::asio::io_context &loop, judge &rules, const soak_options &options, std::uint16_t storePort);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::string callerAddress(std::size_t daemon) const;
    [[nodiscard]] std::string directoryAddress(std::size_t daemon) const;
    [[nodiscard]] std::string readinessAddress(std::size_t daemon) const;
    [[nodiscard]] link &storeLink(std::size_t daemon);

    void kill(std::size_t daemon);
    /// Stops the process without its knowing, or lets it go on.
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void stopPlanned(std::size_t daemon);
    void reloadSettings(std::size_t daemon);
    /// Whether a planned stop is all that has happened to the daemon lately.
    [[nodiscard]] bool isInPlannedStop(std::size_t daemon) const;
    [[nodiscard]] bool isRunning(std::size_t daemon) const;

    /// Starts what has ended and is due; reports processes that end by themselves or stop too slowly.
    void look();
    /// Ends every process.
    void end();

private:
    enum class state {
        Running,
        Stopping, ///< Told to stop.
        Killed,
    };
    struct daemon_place {
        std::string address; ///< IP address.
        std::string dataCentre;
        std::unique_ptr<link> storeLink;
        std::unique_ptr<daemon_process> process; ///< Null while it is down.
        state is = state::Running;
        std::chrono::steady_clock::time_point since; ///< Of the state.
        std::chrono::steady_clock::time_point startAt; ///< While it is down.
    };

    void start(std::size_t daemon);
    [[nodiscard]] std::string settingsOf(std::size_t daemon) const;

    judge &m_judge;
    soak_options m_options;
    std::vector<daemon_place> m_daemons;
};
} // namespace Soak
