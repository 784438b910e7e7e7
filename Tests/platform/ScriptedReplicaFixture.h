#pragma once

#include "DaemonFixture.h"

#include <set>
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

    /// Sends one request, and one before it if the replica is to have an open connection already.
    std::string answerTo(const std::string &target)
    {
        m_answered.clear();
        if (m_isKept) {
            sendRequest(m_front, "GET " + target, "id-0"); // A connection carries an id only once.
        }
        return sendRequest(m_front, "GET " + target);
    }

    std::string m_bytes; ///< What the replica of service a sends.
    bool m_isKept = false; ///< It answers the first request on a connection completely.
    bool m_endsConnection = true; ///< It closes the connection after `m_bytes`.
    int m_arrivals = 0;

private:
    void answer(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        peer.received.clear();
        ++m_arrivals;
        if (m_isKept && m_answered.insert(&peer).second) {
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nServer-Stamp: whole\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        peer.send(m_bytes);
        if (m_endsConnection) {
            peer.finish();
        }
    }

    std::set<const raw_connection *> m_answered;
    raw_server m_scripted {m_loop, [this](raw_connection &peer) {
                               answer(peer);
                           }};
    raw_server m_whole {m_loop, answering("digest-b", record('c'))};
};
