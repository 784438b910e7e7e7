#include "Processes/TestFleet.h"

#include "LibCore/Verify.h"
#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "LibTeams/Authenticate.h"
#include "Processes/ChildProcess.h"
#include "Processes/FreePort.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

namespace Processes
{
namespace json = boost::json;

static const std::vector<std::string> dataCentreNames {"dc-a", "dc-b", "dc-c"};
static const std::string operatorsKey = "test-operator-key";

test_fleet::test_fleet(const fleet_options &options)
    : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "ragwortcrank-XXXXXX").string();
    VERIFY(::mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    m_storePort = findFreePort();
    for (int index = 0; index < options.daemons; ++index) {
        m_callerPorts.push_back(findFreePort());
        m_peerPorts.push_back(findFreePort());
    }
    makeDocument(options);
    std::ofstream(m_folder + "/configuration.json") << json::serialize(m_document);
    startStore();
    m_backend = std::make_unique<child_process>(
        "Tests/StandIns/standin_backend", std::vector<std::string> {"--config=" + m_folder + "/configuration.json"},
        std::vector<std::string> {}, m_folder + "/backend.log");
    publishVirtualMachines();
    m_daemons.resize(static_cast<std::size_t>(options.daemons));
    for (int index = 0; index < options.daemons; ++index) {
        startDaemon(index);
    }
    int status = 0;
    for (int attempt = 0; attempt < 100 && status != 200; ++attempt) {
        status = patch(0, 0, "first", m_document);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    VERIFY(status == 200);
    for (int index = 0; index < options.daemons; ++index) {
        VERIFY(waitUntilReady(index));
    }
}

void test_fleet::startStore()
{
    m_store = std::make_unique<child_process>("Tests/StandIns/standin_store",
                                              std::vector<std::string> {"--port=" + std::to_string(m_storePort)},
                                              std::vector<std::string> {}, m_folder + "/store.log");
    for (int attempt = 0; attempt < 200 && storeCounters().contains("unreachable"); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

void test_fleet::loseStore()
{
    m_store->signal(SIGKILL);
    VERIFY(m_store->waitForExit(std::chrono::seconds(5)));
    startStore();
}

void test_fleet::restoreConfiguration(int daemon)
{
    int status = 0;
    const json::object document =
        call("GET", "http://" + daemonAddress(daemon) + "/v1/operator/configuration", "", status);
    VERIFY(status == 200);
    call("PUT", "http://127.0.0.1:" + std::to_string(m_storePort) + "/objects/configuration", json::serialize(document),
         status);
    VERIFY(status == 200);
}

test_fleet::~test_fleet()
{
    m_daemons.clear();
    m_backend.reset();
    m_store.reset();
    if (std::getenv("RAGWORTCRANK_KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    }
}

/// A service of one shard and one replica, for a team that may use nothing else.
static json::object makeArchive()
{
    const json::object shards {{"a0", json::object {{"weight", 1.0}}}};
    const json::object replica {{"shard", "a0"},
                                {"address", "127.0.0.1:" + std::to_string(findFreePort())},
                                {"data_centre", dataCentreNames.front()},
                                {"version", "v1"}};
    return {{"routes", json::object {{"lookup", json::object {{"deadline_ms", 1000}}}}},
            {"snapshots", json::object {{"snapshot-1", json::object {{"shards", shards}}}}},
            {"current_snapshot", "snapshot-1"},
            {"replicas", json::object {{"a0-r0", replica}}},
            {"version", "v1"}};
}

void test_fleet::makeDocument(const fleet_options &options)
{
    json::object shards;
    json::object replicas;
    for (int shard = 0; shard < options.shards; ++shard) {
        const std::string shardName = "s" + std::to_string(shard);
        shards[shardName] = json::object {{"weight", 1.0}};
        for (int replica = 0; replica < options.replicasPerShard; ++replica) {
            const std::string name = shardName + "-r" + std::to_string(replica);
            const std::string address = "127.0.0.1:" + std::to_string(findFreePort());
            m_replicaAddresses[name] = address;
            replicas[name] = json::object {{"shard", shardName},
                                           {"address", address},
                                           {"data_centre", dataCentreNames[static_cast<std::size_t>(replica) % 3]},
                                           {"version", "v1"}};
        }
    }
    const json::object routes {
        {"lookup", json::object {{"deadline_ms", 1000}, {"priority", "lookup"}}},
        {"book", json::object {{"idempotent", false}, {"fan_out", "one"}, {"deadline_ms", 1000}}}};
    m_document = {
        {"tier", json::object {{"entry_time_to_live_ms", 500}, {"owners_per_replica", options.ownersPerReplica}}},
        {"data_centres",
         json::object {{"dc-a", json::object {{"region", "north"}}},
                       {"dc-b", json::object {{"region", "west"}}},
                       {"dc-c", json::object {{"region", "east"}}}}},
        {"teams",
         json::object {{"team", json::object {{"key_hash", Teams::hashKey(teamKey())}, {"share", 0.5}}},
                       {"other-team",
                        json::object {{"key_hash", Teams::hashKey(otherTeamKey())},
                                      {"share", 0.1},
                                      {"services", json::array {"archive"}}}}}},
        {"services",
         json::object {{"archive", makeArchive()},
                       {"search",
                        json::object {{"routes", routes},
                                      {"snapshots", json::object {{"snapshot-1", json::object {{"shards", shards}}}}},
                                      {"current_snapshot", "snapshot-1"},
                                      {"replicas", replicas},
                                      {"version", "v1"}}}}}};
}

std::string test_fleet::teamKey() const
{
    return "test-team-key";
}

std::string test_fleet::otherTeamKey() const
{
    return "test-other-team-key";
}

std::string test_fleet::operatorKey() const
{
    return operatorsKey;
}

std::uint16_t test_fleet::daemonPort(int daemon) const
{
    return m_callerPorts[static_cast<std::size_t>(daemon)];
}

std::string test_fleet::daemonLogs() const
{
    std::string logs;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        std::ifstream file(m_folder + "/vm-" + std::to_string(index) + ".log");
        logs.append(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return logs;
}

const json::object &test_fleet::document() const
{
    return m_document;
}

void test_fleet::startDaemon(int daemon)
{
    const auto index = static_cast<std::size_t>(daemon);
    std::vector<std::string> arguments {
        "--vm_name=vm-" + std::to_string(daemon), "--data_centre=" + dataCentreNames[index % 3],
        "--caller_port=" + std::to_string(m_callerPorts[index]), "--peer_port=" + std::to_string(m_peerPorts[index]),
        "--store_url=http://127.0.0.1:" + std::to_string(m_storePort)};
    arguments.insert(arguments.end(), m_options.daemonFlags.begin(), m_options.daemonFlags.end());
    m_daemons[index] =
        std::make_unique<child_process>("Services/ragwortcrankd/ragwortcrankd", arguments,
                                        std::vector<std::string> {"RAGWORTCRANK_OPERATOR_KEY=" + operatorsKey},
                                        m_folder + "/vm-" + std::to_string(daemon) + ".log");
}

void test_fleet::restartDaemon(int daemon)
{
    startDaemon(daemon);
}

std::string test_fleet::daemonAddress(int daemon) const
{
    return "127.0.0.1:" + std::to_string(m_callerPorts[static_cast<std::size_t>(daemon)]);
}

child_process &test_fleet::daemon(int daemon)
{
    return *m_daemons[static_cast<std::size_t>(daemon)];
}

child_process &test_fleet::store()
{
    return *m_store;
}

void test_fleet::publishVirtualMachines()
{
    json::array list;
    for (std::size_t index = 0; index < m_callerPorts.size(); ++index) {
        list.push_back(json::object {{"name", "vm-" + std::to_string(index)},
                                     {"caller_address", "127.0.0.1:" + std::to_string(m_callerPorts[index])},
                                     {"peer_address", "127.0.0.1:" + std::to_string(m_peerPorts[index])},
                                     {"data_centre", dataCentreNames[index % 3]},
                                     {"leaving", false}});
    }
    int status = 0;
    call("PUT", "http://127.0.0.1:" + std::to_string(m_storePort) + "/objects/vms", json::serialize(list), status);
    VERIFY(status == 200);
}

json::value test_fleet::send(const std::string &method, const std::string &url, const std::string &body, int &status)
{
    Platform::http_call request;
    request.method = method;
    request.url = url;
    request.headers = {"Authorization: Bearer " + operatorsKey};
    request.body = body;
    request.timeout = std::chrono::seconds(10);
    Platform::blocking_http_client client; // One for each call, since tests call from several threads.
    const Platform::call_outcome outcome = client.send(std::move(request));
    status = outcome.failure == Platform::call_failure::None ? outcome.response.status : 0;
    boost::system::error_code error;
    json::value value = json::parse(outcome.response.body, error);
    return error ? json::value() : value;
}

json::object test_fleet::call(const std::string &method, const std::string &url, const std::string &body, int &status)
{
    const json::value value = send(method, url, body, status);
    return value.is_object() ? value.get_object() : json::object();
}

json::array test_fleet::spans(int daemon)
{
    int status = 0;
    const json::value value = send("GET", "http://" + daemonAddress(daemon) + "/v1/operator/traces", "", status);
    VERIFY(status == 200);
    return value.as_array();
}

bool test_fleet::waitUntilReady(int daemon)
{
    int status = 0;
    for (int attempt = 0; attempt < 200; ++attempt) {
        call("GET", "http://" + daemonAddress(daemon) + "/readyz", "", status);
        if (status == 200) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

int test_fleet::patch(int daemon, std::uint64_t base, const std::string &patchId, const json::object &patch)
{
    int status = 0;
    call("PATCH",
         "http://" + daemonAddress(daemon) + "/v1/operator/configuration?base=" + std::to_string(base)
             + "&patch_id=" + std::to_string(base) + "-" + patchId,
         json::serialize(patch), status);
    return status;
}

std::uint64_t test_fleet::numberInForce(int daemon)
{
    int status = 0;
    const json::object document =
        call("GET", "http://" + daemonAddress(daemon) + "/v1/operator/configuration", "", status);
    return document.contains("number") ? document.at("number").to_number<std::uint64_t>() : 0;
}

bool test_fleet::waitForNumber(std::uint64_t number, Core::duration longest)
{
    const Core::time_point until = std::chrono::steady_clock::now() + longest;
    while (true) {
        bool all = true;
        for (int index = 0; index < m_options.daemons; ++index) {
            all = all && numberInForce(index) >= number;
        }
        if (all || std::chrono::steady_clock::now() >= until) {
            return all;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

void test_fleet::setStoreFaults(const json::object &faults)
{
    int status = 0;
    call("POST", "http://127.0.0.1:" + std::to_string(m_storePort) + "/faults", json::serialize(faults), status);
    VERIFY(status == 200);
}

json::object test_fleet::storeCounters()
{
    int status = 0;
    json::object counters = call("GET", "http://127.0.0.1:" + std::to_string(m_storePort) + "/counters", "", status);
    if (status != 200) {
        counters["unreachable"] = true;
    }
    return counters;
}

std::vector<std::string> test_fleet::replicaNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, address] : m_replicaAddresses) {
        names.push_back(name);
    }
    return names;
}

void test_fleet::setBackendFaults(const std::string &replica, const json::object &faults)
{
    int status = 0;
    call("POST", "http://" + m_replicaAddresses.at(replica) + "/faults", json::serialize(faults), status);
    VERIFY(status == 200);
}

json::object test_fleet::backendCounters(const std::string &replica)
{
    int status = 0;
    return call("GET", "http://" + m_replicaAddresses.at(replica) + "/runs", "", status);
}

void test_fleet::setAllBackendFaults(const json::object &faults)
{
    for (const std::string &name : replicaNames()) {
        setBackendFaults(name, faults);
    }
}

std::map<std::string, std::uint64_t> test_fleet::runs()
{
    std::map<std::string, std::uint64_t> total;
    for (const auto &[name, address] : m_replicaAddresses) {
        int status = 0;
        const json::object answer = call("GET", "http://" + address + "/runs", "", status);
        VERIFY(status == 200);
        for (const json::key_value_pair &run : answer.at("runs").as_object()) {
            total[std::string(run.key())] += run.value().to_number<std::uint64_t>();
        }
    }
    return total;
}
} // namespace Processes
