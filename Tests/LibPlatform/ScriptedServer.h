#pragma once

#include "AfterResponse.h"
#include "Support/RawServer.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <thread>
#include <utility>

/// Answers each request with the same bytes, from a thread of its own.
class scripted_server
{
public:
    explicit scripted_server(std::string bytes, after_response then = after_response::KeepOpen)
        : m_bytes(std::move(bytes))
        , m_then(then)
        , m_thread([this]() { m_loop.run(); })
    {
    }

    ~scripted_server()
    {
        m_loop.stop();
        m_thread.join();
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(m_server.address().port());
    }

private:
    void respond(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        peer.received.clear();
        peer.send(m_bytes);
        if (m_then == after_response::Close) {
            peer.finish();
        }
    }

    std::string m_bytes;
    after_response m_then;
    boost::asio::io_context m_loop {1};
    raw_server m_server {m_loop, [this](raw_connection &peer) {
                             respond(peer);
                         }};
    std::thread m_thread;
};
