#pragma once

#include "LibCore/Time.h"
#include "Processes/FleetOptions.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Processes
{
class child_process;

/// A store, backend servers and daemons on loopback, started for one test and ended with it.
class test_fleet
{
public:
    explicit test_fleet(const fleet_options &options);
    ~test_fleet();
    test_fleet(const test_fleet &) = delete;
    test_fleet &operator=(const test_fleet &) = delete;

    [[nodiscard]] std::string daemonAddress(int daemon) const;
    child_process &daemon(int daemon);
    child_process &store();
    /// Kills the store and starts it again; it has kept nothing.
    void loseStore();
    /// Puts the configuration that the daemon has in force into the store, as OPERATIONS.md tells operators to do.
    void restoreConfiguration(int daemon);
    /// Starts the daemon again after its process has ended.
    void restartDaemon(int daemon);
    /// Waits until the daemon answers /readyz; false after ten seconds.
    bool waitUntilReady(int daemon);
    /// Writes the list of VMs into the store, as the platform would.
    void publishVirtualMachines();

    /// Sends an operator's patch through one daemon; returns the HTTP status, or 0 without an answer.
    int patch(int daemon, std::uint64_t base, const std::string &patchId, const boost::json::object &patch);
    /// The number that the daemon has in force, 0 if it does not answer.
    std::uint64_t numberInForce(int daemon);
    /// Waits until all daemons have at least this number in force; false after `longest`.
    bool waitForNumber(std::uint64_t number, Core::duration longest);

    void setStoreFaults(const boost::json::object &faults);
    boost::json::object storeCounters();
    [[nodiscard]] std::vector<std::string> replicaNames() const;
    void setBackendFaults(const std::string &replica, const boost::json::object &faults);
    void setAllBackendFaults(const boost::json::object &faults);
    /// What one replica tells at /runs.
    boost::json::object backendCounters(const std::string &replica);
    /// How often each request id ran, over all replicas.
    std::map<std::string, std::uint64_t> runs();

    /// The spans that one daemon keeps, in OpenTracing's JSON form.
    boost::json::array spans(int daemon);

    [[nodiscard]] const boost::json::object &document() const;
    [[nodiscard]] std::string teamKey() const;
    /// The key of a team that may use the service "archive" and no other.
    [[nodiscard]] std::string otherTeamKey() const;
    [[nodiscard]] std::string operatorKey() const;
    [[nodiscard]] std::uint16_t daemonPort(int daemon) const;
    /// All that the daemons logged so far.
    [[nodiscard]] std::string daemonLogs() const;

private:
    void makeDocument(const fleet_options &options);
    void startStore();
    void startDaemon(int daemon);
    boost::json::value send(const std::string &method, const std::string &url, const std::string &body, int &status);
    boost::json::object call(const std::string &method, const std::string &url, const std::string &body, int &status);

    fleet_options m_options;
    std::string m_folder;
    boost::json::object m_document;
    std::map<std::string, std::string> m_replicaAddresses;
    std::uint16_t m_storePort = 0;
    std::vector<std::uint16_t> m_callerPorts;
    std::vector<std::uint16_t> m_peerPorts;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<child_process> m_backend;
    std::vector<std::unique_ptr<child_process>> m_daemons;
};
} // namespace Processes
