#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedState.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/TimerQueue.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Exchange
{
/// Answers other daemons that want to know what has changed since the positions that they name. A question waits until
/// there is news or its time is over.
class feed_server
{
public:
    using states = std::map<std::string, feed_state>; ///< By kind.

    feed_server(Front::timer_queue &timers, const states &known);

    [[nodiscard]] Front::abandon_function handle(const Front::request_message &request,
                                                 const Front::reply_function &reply);
    /// Only a daemon that hears from the store itself answers; the others would hand on what may be old.
    void setSource(bool isSource);
    /// Answers the questions that the news concerns, after a short pause in which more may come.
    void noticeNews();

private:
    struct question {
        std::map<std::string, std::uint64_t> positions; ///< By kind.
        Front::reply_function reply;
        std::optional<Front::timer_queue::handle> deadline;
    };
    using questions = std::list<question>;

    [[nodiscard]] bool hasNewsFor(const question &asked) const;
    void answer(questions::iterator asked);
    void answerAll();

    Front::timer_queue &m_timers;
    const states &m_known;
    questions m_waiting;
    bool m_isSource = false;
    bool m_noticed = false; ///< A pause runs.
};

/// The target of a question.
[[nodiscard]] std::string feedTarget(const std::map<std::string, std::uint64_t> &positions, Core::duration wait);
} // namespace Exchange
