#pragma once

#include "DaemonFixture.h"

#include <algorithm>
#include <string>

/// A daemon with one replica of service a, which sends the bytes that the test says, and a sound one of service b.
class scripted_replica_test : public daemon_test
{
protected:
    /// Starts both replicas and a daemon. All shards are required, so that the first replica is asked although it has
    /// failed before.
    void startWithReplica(std::string configuration = sampleConfiguration)
    {
        replaceFirst(configuration, "\"min-coverage\": 0.5", "\"min-coverage\": 1.0");
        m_store.putText("config", "main", configuration);
        addReplica("i-a", "a", m_scripted);
        addReplica("i-b", "b", m_whole);
        startDaemon();
        ASSERT_TRUE(becomesReady());
    }

    static void replaceFirst(std::string &text, const std::string &from, const std::string &to)
    {
        const std::size_t place = text.find(from);
        ASSERT_NE(place, std::string::npos) << from;
        text.replace(place, from.size(), to);
    }

    /// Sends one request, and one before it if the replica is to have an open connection already. Afterwards the
    /// replica has no open connection.
    std::string answerTo(const std::string &target)
    {
        if (m_isKept) {
            sendRequest(m_front, "GET " + target, precedingId); // A connection carries an id only once.
        }
        std::string received = sendRequest(m_front, "GET " + target);
        endConnections();
        return received;
    }

    std::string m_bytes; ///< What the replica of service a sends.
    bool m_isKept = false; ///< Its connection has carried a request before, which it has answered completely.
    bool m_endsConnection = true; ///< It closes the connection after `m_bytes`.
    int m_arrivals = 0;

private:
    static constexpr const char *precedingId = "id-0";

    void answer(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::string idField = std::string("Request-Id: ") + precedingId + "\r\n";
        const bool isPreceding = peer.received.find(idField) != std::string::npos;
        peer.received.clear();
        ++m_arrivals;
        if (isPreceding) {
            peer.send("HTTP/1.1 200 OK\r\n" + idField + "Server-Stamp: whole\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        peer.send(m_bytes);
        if (m_endsConnection) {
            peer.finish();
        }
    }

    /// Ends the connections to the replica of service a and waits until the daemon has closed them.
    void endConnections()
    {
        for (const auto &connection : m_scripted.connections) {
            if (!connection->ended) {
                connection->finish();
            }
        }
        EXPECT_TRUE(runUntil([this]() {
            return std::all_of(m_scripted.connections.begin(), m_scripted.connections.end(),
                               [](const auto &connection) { return connection->ended; });
        }));
        m_scripted.connections.clear();
    }

    raw_server m_scripted {m_loop, [this](raw_connection &peer) {
                               answer(peer);
                           }};
    raw_server m_whole {m_loop, answering("digest-b", record('c'))};
};
