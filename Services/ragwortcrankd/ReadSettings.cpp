#include "ReadSettings.h"

#include "LibPlatform/ReadSecret.h"
#include "Settings.h"

#include <boost/asio/ip/address.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <limits>
#include <ostream>
#include <sstream>
#include <string_view>

DEFINE_string(vm_name, "", "name of this VM in the platform's list");
DEFINE_string(data_centre, "", "data centre that this VM is in");
DEFINE_string(listen_address, "127.0.0.1", "IP address that callers and other daemons connect to");
DEFINE_int32(caller_port, 8080, "TCP port for callers and operators, 1 to 65535");
DEFINE_int32(peer_port, 8081, "TCP port for other daemons, 1 to 65535");
DEFINE_string(store_url, "", "base URL of the platform's store, as in http://127.0.0.1:9000");
DEFINE_string(
    peers, "",
    "addresses of other daemons to contact if the store is unavailable at start-up, as in 10.0.0.1:8081,10.0.0.2:8081");
DEFINE_int32(drain_limit, 60,
             "maximum duration of a planned stop in seconds before running work is aborted, 0 to 3600");
DEFINE_int32(http_threads, 2, "threads that serve callers, 1 to 64");
DEFINE_int32(query_threads, 2, "threads that run queries, 1 to 64");
DEFINE_int32(operator_key_fd, -1, "file descriptor to read the operator key from; -1: RAGWORTCRANK_OPERATOR_KEY");
DEFINE_double(trace_sample_part, 0.01,
              "fraction of the queries without a traceparent for which spans are recorded, 0 to 1");
DEFINE_string(log_level, "info", "debug, info, warning or error");

static constexpr std::array settingNames {
    "vm_name",   "data_centre",     "listen_address",   "caller_port", "peer_port",
    "store_url", "http_threads",    "query_threads",    "peers",       "drain_limit",
    "log_level", "operator_key_fd", "trace_sample_part"};
static constexpr std::int32_t maximumThreads = 64;

using findings_list = std::vector<Core::finding>;

static std::string environmentName(std::string_view flag)
{
    std::string name = "RAGWORTCRANK_";
    for (const char character : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

/// Sets one flag given as --name=value. The parser of gflags is not used, since it would end the process at the first
/// error.
static void readFlag(const std::string &argument, findings_list &findings)
{
    const std::size_t start = argument.find_first_not_of('-');
    const std::size_t equals = argument.find('=');
    if (!argument.starts_with("-") || start == std::string::npos) {
        findings.push_back({argument, "is not a flag; flags are written --name=value"});
        return;
    }
    const std::string name = argument.substr(start, equals == std::string::npos ? equals : equals - start);
    gflags::CommandLineFlagInfo known;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &known)) {
        findings.push_back({"--" + name, "is not a known flag; --help lists them"});
        return;
    }
    if (equals == std::string::npos && known.type != "bool") {
        findings.push_back({"--" + name, "needs a value, as in --" + name + "=VALUE"});
        return;
    }
    const std::string value = equals == std::string::npos ? "true" : argument.substr(equals + 1);
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        findings.push_back({"--" + name, "value \"" + value + "\" must be of type " + known.type});
    }
}

/// Reads each setting without a flag from its environment variable.
static void readEnvironment(findings_list &findings)
{
    for (const char *name : settingNames) {
        const char *value = std::getenv(environmentName(name).c_str());
        if (value == nullptr || !gflags::GetCommandLineFlagInfoOrDie(name).is_default) {
            continue;
        }
        if (gflags::SetCommandLineOption(name, value).empty()) {
            findings.push_back({environmentName(name),
                                std::string("value \"") + value + "\" must be of type "
                                    + gflags::GetCommandLineFlagInfoOrDie(name).type});
        }
    }
}

static void checkRange(const char *flag, std::int32_t value, std::int32_t minimum, std::int32_t maximum,
                       findings_list &findings)
{
    if (value < minimum || value > maximum) {
        findings.push_back({std::string("--") + flag,
                            "value " + std::to_string(value) + " must be from " + std::to_string(minimum) + " to "
                                + std::to_string(maximum)});
    }
}

static void checkNotEmpty(const char *flag, const std::string &value, findings_list &findings)
{
    if (value.empty()) {
        findings.push_back({std::string("--") + flag, "value \"\" must not be empty"});
    }
}

static void checkAddress(findings_list &findings)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(FLAGS_listen_address, error);
    if (error) {
        findings.push_back({"--listen_address", "value \"" + FLAGS_listen_address + "\" must be an IP address"});
    }
}

static void checkStoreUrl(findings_list &findings)
{
    if (!FLAGS_store_url.starts_with("http://") && !FLAGS_store_url.starts_with("https://")) {
        findings.push_back({"--store_url", "value \"" + FLAGS_store_url + "\" must start with http:// or https://"});
    }
}

/// Parses the list of peers; each must be an IP address and a port.
static void readPeers(settings &target, findings_list &findings)
{
    std::stringstream list(FLAGS_peers);
    std::string peer;
    while (std::getline(list, peer, ',')) {
        const std::size_t colon = peer.rfind(':');
        const std::string host = peer.substr(0, colon);
        const std::string port = colon == std::string::npos ? "" : peer.substr(colon + 1);
        boost::system::error_code error;
        boost::asio::ip::make_address(host, error);
        const bool isNumber = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), ::isdigit);
        if (error || !isNumber || std::stoi(port) == 0 || std::stoi(port) > std::numeric_limits<std::uint16_t>::max()) {
            findings.push_back(
                {"--peers", "value \"" + peer + "\" must be an IP address and a port, as in 10.0.0.1:8081"});
            continue;
        }
        target.peers.push_back(peer);
    }
}

static void readLogLevel(settings &target, findings_list &findings)
{
    using Observability::log_level;
    if (FLAGS_log_level == "debug") {
        target.logLevel = log_level::Debug;
    } else if (FLAGS_log_level == "info") {
        target.logLevel = log_level::Info;
    } else if (FLAGS_log_level == "warning") {
        target.logLevel = log_level::Warning;
    } else if (FLAGS_log_level == "error") {
        target.logLevel = log_level::Error;
    } else {
        findings.push_back({"--log_level", "value \"" + FLAGS_log_level + "\" must be debug, info, warning or error"});
    }
}

static void readOperatorKey(settings &target, findings_list &findings)
{
    if (FLAGS_operator_key_fd >= 0) {
        target.operatorKey = Platform::readSecret(FLAGS_operator_key_fd);
    } else if (const char *value = std::getenv("RAGWORTCRANK_OPERATOR_KEY")) {
        target.operatorKey = value;
    }
    constexpr std::size_t minimumKeyLength = 8;
    if (target.operatorKey.size() < minimumKeyLength) {
        findings.push_back(
            {"RAGWORTCRANK_OPERATOR_KEY", "must have at least 8 characters (or give --operator_key_fd)"});
    }
}

bool wantsHelp(int argc, char **argv)
{
    return std::any_of(argv + 1, argv + argc, [](const std::string &argument) {
        return argument == "--help" || argument == "-help" || argument == "-h";
    });
}

void printHelp(std::ostream &stream)
{
    stream << "ragwortcrankd: one daemon of the query tier\n\n"
              "Flags are written --name=value. A setting without its flag is read from its environment variable.\n"
              "The operator key is read from RAGWORTCRANK_OPERATOR_KEY or the descriptor --operator_key_fd, never from "
              "a flag's value.\n";
    for (const char *name : settingNames) {
        const gflags::CommandLineFlagInfo flag = gflags::GetCommandLineFlagInfoOrDie(name);
        stream << "\n  --" << name << "  (" << flag.type << ", default \"" << flag.default_value << "\", "
               << environmentName(name) << ")\n      " << flag.description << '\n';
    }
}

void readSettings(int argc, char **argv, settings &target, findings_list &findings)
{
    for (int index = 1; index < argc; ++index) {
        readFlag(argv[index], findings);
    }
    readEnvironment(findings);
    checkNotEmpty("vm_name", FLAGS_vm_name, findings);
    checkNotEmpty("data_centre", FLAGS_data_centre, findings);
    checkAddress(findings);
    checkStoreUrl(findings);
    checkRange("caller_port", FLAGS_caller_port, 1, std::numeric_limits<std::uint16_t>::max(), findings);
    checkRange("peer_port", FLAGS_peer_port, 1, std::numeric_limits<std::uint16_t>::max(), findings);
    checkRange("http_threads", FLAGS_http_threads, 1, maximumThreads, findings);
    checkRange("query_threads", FLAGS_query_threads, 1, maximumThreads, findings);
    constexpr std::int32_t maximumDrainLimit = 3600;
    checkRange("drain_limit", FLAGS_drain_limit, 0, maximumDrainLimit, findings);
    readPeers(target, findings);
    if (!(FLAGS_trace_sample_part >= 0.0 && FLAGS_trace_sample_part <= 1.0)) {
        findings.push_back(
            {"--trace_sample_part", "value " + std::to_string(FLAGS_trace_sample_part) + " must be from 0 to 1"});
    }
    target.traceSampleFraction = FLAGS_trace_sample_part;
    readLogLevel(target, findings);
    readOperatorKey(target, findings);
    target.virtualMachine = FLAGS_vm_name;
    target.dataCentre = FLAGS_data_centre;
    target.listenAddress = FLAGS_listen_address;
    target.callerPort = static_cast<std::uint16_t>(FLAGS_caller_port);
    target.peerPort = static_cast<std::uint16_t>(FLAGS_peer_port);
    target.storeUrl = FLAGS_store_url;
    target.drainLimit = std::chrono::seconds(FLAGS_drain_limit);
    target.httpThreads = FLAGS_http_threads;
    target.queryThreads = FLAGS_query_threads;
}
