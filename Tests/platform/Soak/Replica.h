#pragma once

#include "Link.h"
#include "ReplicaFault.h"
#include "Support/RawServer.h"

#include "LibCore/RandomEngine.h"
#include "LibFront/TimerQueue.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Soak
{
class judge;

/// A stand-in for one replica behind a link of its own. It tells the judge what reaches it and what it runs.
class replica
{
public:
    replica(boost::asio::io_context &loop, Front::timer_queue &timers, judge &rules, std::string id,
            std::string service, std::string dataCentre, std::uint64_t seed);

    /// Starts anew, with a new birth; what the old start held is gone.
    void start();
    /// Ends at once, as in a crash.
    void crash();
    void setFault(replica_fault fault);
    /// States a limit on the request rate of all daemons together from now on; 0: none.
    void setRequestLimit(double perSecond);

    /// Says in all answers, until it starts anew, that it leaves.
    void announceLeaving();

    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] const std::string &service() const;
    [[nodiscard]] const std::string &dataCentre() const;
    /// What it registers.
    [[nodiscard]] boost::json::object entry(const std::string &state) const;
    [[nodiscard]] link &path();

private:
    struct request {
        std::string method;
        std::string path;
        std::string id;
        std::string target;
        std::string body;
    };

    struct waiting_request {
        std::weak_ptr<raw_connection> peer;
        request asked;
    };

    void onBytes(raw_connection &peer);
    void runWaiting();
    void carryOut(raw_connection &peer, const request &asked);
    void answer(raw_connection &peer, const request &asked);

    Front::timer_queue &m_timers;
    boost::asio::io_context &m_loop;
    judge &m_judge;
    std::string m_id;
    std::string m_service;
    std::string m_dataCentre;
    Core::random_engine m_random;
    std::unique_ptr<raw_server> m_server; ///< Null while it is down.
    link m_link;
    std::int64_t m_born = 0;
    std::uint64_t m_answers = 0;
    unsigned m_running = 0;
    std::deque<waiting_request> m_waiting;
    std::uint64_t m_start = 0; ///< Counts the starts, so that work of an earlier one is dropped.
    replica_fault m_fault = replica_fault::None;
    double m_requestLimit = 0.0;
    bool m_isLeaving = false;
    std::string m_lastAnswer; ///< For extra answers.
    unsigned m_arrivals = 0; ///< While it sends extra answers.
    std::map<const raw_connection *, std::string> m_lateCopies; ///< Sent before the next answer on the connection.
};
} // namespace Soak
