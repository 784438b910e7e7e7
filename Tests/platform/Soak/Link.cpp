#include "Link.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Soak
{
using tcp = boost::asio::ip::tcp;

static constexpr std::chrono::milliseconds holdPause {10}; ///< Between looks whether a held direction is open again.

/// One connection through the link.
struct link::pipe : std::enable_shared_from_this<link::pipe> {
    struct direction {
        tcp::socket &from;
        tcp::socket &to;
        bool isBack; ///< From the target to the caller.
        boost::asio::steady_timer timer;
        std::array<char, 16384> bytes {};
    };

    pipe(tcp::socket accepted, tcp::socket connected, std::shared_ptr<settings> applied)
        : near(std::move(accepted))
        , far(std::move(connected))
        , forth {near, far, false, boost::asio::steady_timer(near.get_executor()), {}}
        , back {far, near, true, boost::asio::steady_timer(near.get_executor()), {}}
        , rules(std::move(applied))
    {
    }

    void read(direction &way)
    {
        way.from.async_read_some(
            boost::asio::buffer(way.bytes),
            [self = shared_from_this(), &way](const boost::system::error_code &error, std::size_t size) {
                if (error) {
                    self->end(way, error);
                    return;
                }
                self->later(way, size, self->rules->delay);
            });
    }

    void later(direction &way, std::size_t size, std::chrono::milliseconds delay)
    {
        way.timer.expires_after(delay);
        way.timer.async_wait([self = shared_from_this(), &way, size](const boost::system::error_code &error) {
            if (!error) {
                self->pass(way, size);
            }
        });
    }

    void pass(direction &way, std::size_t size)
    {
        const bool isHeld = rules->mode == link_mode::Silent || (rules->mode == link_mode::OneWay && way.isBack);
        if (isHeld) {
            later(way, size, holdPause);
            return;
        }
        boost::system::error_code error;
        boost::asio::write(way.to, boost::asio::buffer(way.bytes, size), error);
        if (error) {
            end(way, error);
            return;
        }
        read(way);
    }

    /// Passes an orderly end on, and a reset as a reset.
    void end(direction &way, const boost::system::error_code &error)
    {
        boost::system::error_code ignored; // Either end may be closed already.
        if (error == boost::asio::error::eof) {
            way.to.shutdown(tcp::socket::shutdown_send, ignored);
        } else if (error != boost::asio::error::operation_aborted) {
            reset();
        }
    }

    void reset()
    {
        boost::system::error_code ignored; // Either end may be closed already.
        for (tcp::socket *socket : {&near, &far}) {
            socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        forth.timer.cancel();
        back.timer.cancel();
    }

    tcp::socket near;
    tcp::socket far;
    direction forth;
    direction back;
    std::shared_ptr<settings> rules;
};

link::link(boost::asio::io_context &loop, std::uint16_t targetPort)
    : m_loop(loop)
    , m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    , m_targetPort(targetPort)
{
    accept();
}

link::~link()
{
    resetAll();
}

void link::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket accepted) {
        if (error) {
            return;
        }
        tcp::socket far(m_loop);
        boost::system::error_code refused;
        far.connect({boost::asio::ip::make_address("127.0.0.1"), m_targetPort}, refused);
        if (refused) {
            boost::system::error_code ignored; // The caller may have gone.
            accepted.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            accepted.close(ignored);
        } else {
            const auto opened = std::make_shared<pipe>(std::move(accepted), std::move(far), m_settings);
            std::erase_if(m_pipes, [](const auto &known) { return known.expired(); });
            m_pipes.push_back(opened);
            opened->read(opened->forth);
            opened->read(opened->back);
        }
        accept();
    });
}

void link::setTarget(std::uint16_t port)
{
    m_targetPort = port;
}

void link::setMode(link_mode mode)
{
    m_settings->mode = mode;
}

void link::setDelay(std::chrono::milliseconds delay)
{
    m_settings->delay = delay;
}

void link::resetAll()
{
    for (const std::weak_ptr<pipe> &known : m_pipes) {
        if (const auto open = known.lock()) {
            open->reset();
        }
    }
    m_pipes.clear();
}

std::string link::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}
} // namespace Soak
