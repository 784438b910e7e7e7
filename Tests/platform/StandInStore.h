#pragma once

#include "Support/RawServer.h"

#include <map>
#include <string>
#include <vector>

/// A stand-in for the platform's store: lists objects by kind, lets watches wait, and accepts what daemons write.
class stand_in_store
{
public:
    explicit stand_in_store(boost::asio::io_context &loop)
        : m_server(loop, [this](raw_connection &peer) { answer(peer); })
    {
    }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        ++m_revision;
        m_objects[kind].push_back(R"({"meta": {"name": ")" + name + R"(", "revision": )" + std::to_string(m_revision)
                                  + R"(}, "spec": )" + spec + "}");
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server.address().port());
    }

    bool isDown = false;

private:
    void answer(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::string target = peer.received.substr(peer.received.find(' ') + 1);
        const bool isWatch = target.substr(0, target.find(' ')).find("watch=") != std::string::npos;
        const std::string path = target.substr(0, target.find_first_of(" ?"));
        peer.received.clear();
        if (isDown) {
            peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (isWatch) {
            return; // Nothing changes while a test runs.
        }
        std::string items;
        for (const std::string &object : m_objects[path.substr(path.rfind('/') + 1)]) {
            items += (items.empty() ? "" : ",") + object;
        }
        const std::string body =
            R"({"items": [)" + items + R"(], "has-more": false, "store-revision": )" + std::to_string(m_revision) + "}";
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::map<std::string, std::vector<std::string>> m_objects;
    std::uint64_t m_revision = 10;
    raw_server m_server;
};
