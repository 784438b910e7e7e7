#pragma once

#include "CallerAnswer.h"
#include "SentRequest.h"
#include "Support/RawConnection.h"

#include "LibCore/RandomEngine.h"
#include "LibFront/TimerQueue.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Soak
{
class fleet;
class judge;

/// One caller: asks the directory, keeps a connection and uses it until it is gone, one request at a time.
class caller
{
public:
    caller(boost::asio::io_context &loop, Front::timer_queue &timers, judge &rules, fleet &daemons, std::size_t number,
           std::uint64_t seed, std::chrono::milliseconds pause);

    void start();
    /// The version that the store accepted last, as the operator knows it.
    void setConfiguration(std::uint64_t version);

private:
    void next();
    void later(std::chrono::milliseconds delay);
    void lookUp();
    void takeDirectory(const std::string &body);
    bool connect();
    void sendRequest();
    void onBytes();
    void onEnd();
    void watchFor(std::chrono::milliseconds delay, void (caller::*step)(const std::string &));
    void lookForEnd(const std::string &id);
    void checkLate(const std::string &id);
    void giveUp(const std::string &id);
    void leave(const std::string &id);
    std::shared_ptr<raw_connection> open(const std::string &address);

    boost::asio::io_context &m_loop;
    Front::timer_queue &m_timers;
    judge &m_judge;
    fleet &m_fleet;
    std::size_t m_number;
    Core::random_engine m_random;
    std::chrono::milliseconds m_pause;
    std::uint64_t m_configuration = 0;
    std::uint64_t m_sent = 0;
    std::vector<std::string> m_addresses; ///< As the directory named them last.
    std::chrono::steady_clock::time_point m_addressesUntil;
    std::shared_ptr<raw_connection> m_directory;
    std::shared_ptr<raw_connection> m_connection;
    std::size_t m_daemon = 0; ///< That the connection leads to.
    std::string m_waitingFor; ///< Id of the request that is open; empty if there is none.
};
} // namespace Soak
