#pragma once

#include "LinkMode.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Soak
{
/// A proxy on loopback in front of one server, by which its connections are delayed, silenced, cut one way or reset.
class link
{
public:
    link(boost::asio::io_context &loop, std::uint16_t targetPort);
    ~link();
    link(const link &) = delete;
    link &operator=(const link &) = delete;

    /// The server may come back on another port.
    void setTarget(std::uint16_t port);
    void setMode(link_mode mode);
    void setDelay(std::chrono::milliseconds delay);
    /// Resets every connection; new ones are accepted.
    void resetAll();
    [[nodiscard]] std::string address() const;

private:
    struct settings {
        link_mode mode = link_mode::Open;
        std::chrono::milliseconds delay {};
    };
    struct pipe;

    void accept();

    boost::asio::io_context &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_targetPort;
    std::shared_ptr<settings> m_settings = std::make_shared<settings>(); ///< Pipes outlive the link by their last read.
    std::vector<std::weak_ptr<pipe>> m_pipes;
};
} // namespace Soak
