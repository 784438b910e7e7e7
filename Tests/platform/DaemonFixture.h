#pragma once

#include "DaemonProcess.h"
#include "ObjectStore.h"
#include "StoreFault.h"
#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <memory>
#include <string>

inline constexpr const char *sampleConfiguration = R"({
  "version": 5,
  "routes": [
    {"name": "g", "host": "h.example", "path-prefix": "/g/", "route-type": "idempotent", "timeout-ms": 3000,
     "target-latency-ms": 1000, "priority": 1, "gather": ["a", "b"], "attempts": 2, "top-k": 2, "min-coverage": 0.5},
    {"name": "s", "host": "h.example", "path-prefix": "/s/", "route-type": "non_idempotent", "timeout-ms": 3000,
     "target-latency-ms": 1000, "priority": 2, "backend": "a", "attempts": 2}],
  "services": [{"name": "a", "health-path": "/health", "max-conns": 20, "warmup-s": 1.0, "warmup-per-s": 0},
               {"name": "b", "health-path": "/health", "max-conns": 20, "warmup-s": 1.0, "warmup-per-s": 0}],
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
})";

/// Returns a record of 16 bytes that begins with the given letter.
inline std::string record(char lead)
{
    return std::string(1, lead) + std::string(15, '.');
}

/// One daemon as a child process, with a stand-in store and scripted replicas.
class daemon_test : public loop_fixture
{
protected:
    void SetUp() override
    {
        m_front = freePort();
        m_ready = freePort();
        m_directory = freePort();
        m_control = freePort();
        m_peers = freePort();
    }

    void addReplica(const std::string &id, const std::string &service, const raw_server &server,
                    const std::string &version = "v1")
    {
        m_store.putText("servers", id,
                        R"({"backend": ")" + service + R"(", "address": "127.0.0.1:)"
                            + std::to_string(server.address().port()) + R"(", "zone": "z1", "version": ")" + version
                            + R"(", "max-concurrency": 2, "state": "ready",
                            "warmup-left-ms": 0, "sequence": 1, "born": 1})");
    }

    /// Returns the text of a settings file in which `entrySeconds` is the time to live of the directory's responses.
    std::string settingsText(int entrySeconds) const
    {
        const auto at = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        return boost::json::serialize(boost::json::object {
            {"node-name", "front-1"},
            {"ip", "127.0.0.1"},
            {"zone", "z1"},
            {"region", "r1"},
            {"zones", {{"z1", "r1"}}},
            {"listen-addrs",
             {{"front", at(m_front)},
              {"readiness", at(m_ready)},
              {"directory", at(m_directory)},
              {"control", at(m_control)}}},
            {"port-range", {m_peers, m_peers}},
            {"seeds", {at(m_control)}},
            {"bounds",
             {{"grace-s", 4}, {"ttl_max_s", entrySeconds}, {"retry-budget-slack", 20}, {"retry-window-s", 1}}},
            {"platform", {{"address", m_store.address()}}},
        });
    }

    void startDaemon()
    {
        m_daemon = std::make_unique<daemon_process>(settingsText(1));
    }

    bool directoryTimeToLiveBecomes(int seconds)
    {
        const std::string wanted = R"("ttl_s":)" + std::to_string(seconds) + "}";
        return runUntil([&]() {
            return sendRequest(m_directory, "GET /api/resolve?name=h.example&region=r1&zone=z1").ends_with(wanted);
        });
    }

    /// Connects to one of the daemon's ports; returns null if the connection is refused.
    std::shared_ptr<raw_connection> connect(int port)
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        boost::system::error_code error;
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)}, error);
        if (error) {
            return nullptr;
        }
        auto caller = std::make_shared<raw_connection>(std::move(socket));
        caller->read([](raw_connection &) {});
        return caller;
    }

    void runAfter(std::chrono::milliseconds delay, std::function<void()> work)
    {
        m_timers.schedule(std::chrono::steady_clock::now() + delay,
                          [work = std::move(work)](Core::time_point) { work(); });
    }

    /// Sends one request on a separate connection and returns the complete response; empty if there is none.
    std::string sendRequest(int port, const std::string &request, const std::string &id = "id-1")
    {
        const auto caller = connect(port);
        if (!caller) {
            return {};
        }
        caller->send(request + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
                     + "\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n");
        runUntil([&]() { return caller->ended; });
        return caller->received;
    }

    bool becomesReady()
    {
        return runUntil([this]() { return sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1 200"); });
    }

    /// Returns the state of the rollout of service a in the store; empty if none was written.
    std::string rolloutState()
    {
        const boost::json::object *order = m_store.find("rollouts", "a");
        const bool isWritten = order != nullptr && order->contains("status");
        return isWritten ? std::string(order->at("status").at("state").as_string()) : std::string();
    }

    static raw_server::script answering(const std::string &digest, const std::string &body)
    {
        return [=](raw_connection &peer) {
            if (peer.received.find("\r\n\r\n") != std::string::npos) {
                const std::string field = "Request-Id: ";
                const std::size_t begin = peer.received.find(field) + field.size();
                const std::string id = peer.received.substr(begin, peer.received.find('\r', begin) - begin);
                peer.received.clear();
                peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + digest
                          + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            }
        };
    }

    int m_front = 0;
    int m_ready = 0;
    int m_directory = 0;
    int m_control = 0;
    int m_peers = 0;
    object_store m_store {m_loop};
    std::unique_ptr<daemon_process> m_daemon;
};
