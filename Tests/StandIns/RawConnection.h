#pragma once

#include "LibCore/Time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace StandIns
{
/// A TCP connection to 127.0.0.1 that sends any bytes, for requests that no HTTP client would make.
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port);
    ~raw_connection();
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    /// Sends all bytes; false once the other end has closed the connection.
    bool send(std::string_view bytes) const;
    /// Sends no more, but still reads.
    void closeSending() const;
    /// Reads until the other end closes, or stays silent for `quiet`; returns all that came.
    std::string read(Core::duration quiet);
    /// Reads until one whole answer came, the other end closes, or it stays silent for `quiet`.
    std::string readAnswer(Core::duration quiet);
    /// Whether the other end had closed the connection at the last read.
    [[nodiscard]] bool closed() const;

private:
    /// Appends what comes next; false if the other end closed or stayed silent for `quiet`.
    bool receive(std::string &received, Core::duration quiet);

    int m_socket = -1;
    bool m_closed = false;
};

/// Returns the status of the first answer in `bytes`, 0 without one.
[[nodiscard]] int statusOf(const std::string &bytes);
/// Returns the JSON body of the first answer in `bytes`, an empty object without one.
[[nodiscard]] boost::json::object bodyOf(const std::string &bytes);
} // namespace StandIns
