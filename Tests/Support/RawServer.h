#pragma once

#include "Support/RawConnection.h"

#include <functional>
#include <list>
#include <memory>
#include <utility>

/// Accepts connections on loopback and hands what they receive to a test's script.
class raw_server
{
public:
    using script = std::function<void(raw_connection &)>;

    raw_server(boost::asio::io_context &loop, script onBytes)
        : m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_script(std::move(onBytes))
    {
        accept();
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }

    std::list<std::shared_ptr<raw_connection>> connections;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            connections.push_back(std::make_shared<raw_connection>(std::move(socket)));
            connections.back()->read(m_script);
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_script;
};
