#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RequestState.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/ForwardText.h"
#include "LibFront/TimerQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Front
{
struct exchange_end;
struct front_environment;

/// Carries out one request: sends attempts, feeds their ends to the state machine, and replies.
/// Shared ownership: attempts that outlive the request still report what they show of their replica.
class request_task : public std::enable_shared_from_this<request_task>
{
public:
    request_task(front_environment &environment, Forward::request_plan plan, request_message &&request,
                 Core::duration callerWaits, reply_function reply);

    void start(Core::time_point now);
    /// The caller has left: attempts that do not end by themselves soon are cancelled.
    void abandon();

private:
    struct open_attempt {
        Forward::replica_key replica;
        std::uint64_t ticket = 0;
        Core::time_point sentAt;
    };

    void carryOut(const Forward::request_effects &effects, Core::time_point now);
    void sendAttempt(const Forward::send_attempt &send, Core::time_point now);
    void onEnd(std::uint32_t attempt, exchange_end end);
    void takeReply(std::uint32_t attempt, const open_attempt &sent, reply_message &&reply, Core::time_point now);
    void takeFailure(std::uint32_t attempt, const open_attempt &sent, Forward::attempt_failure failure,
                     Core::time_point now);
    /// Counts an answer or failure for the service's rollout, if there is one.
    void learnVersion(const open_attempt &sent, bool failed, Core::time_point now);
    void learnLoad(const open_attempt &sent, const reply_message &reply, Core::time_point now);
    void setWake(Core::time_point when);
    [[nodiscard]] std::string attemptTextAt(const std::string &instance, Core::time_point now) const;
    /// Cancels the attempts that wait for a connection now, and the others if they have not ended after the delay.
    void cancelLater(Core::duration delay);
    void cancelOpen(Core::time_point now);
    void finish(Forward::request_outcome verdict, Core::time_point now);
    [[nodiscard]] answer makeAnswer(Forward::request_outcome verdict);
    [[nodiscard]] answer gatheredAnswer();
    void logEnd(Forward::request_outcome verdict, Core::time_point now);

    front_environment &m_environment;
    Forward::request_state m_request;
    std::string m_requestId;
    forward_text m_text;
    bool m_isHead;
    Core::time_point m_callerLeavesAt; ///< What replicas are told of the time left counts down to it.
    reply_function m_reply;
    std::map<std::uint32_t, open_attempt> m_open;
    std::optional<reply_message> m_singleReply; ///< The latest answer on a route that does not gather.
    std::optional<timer_queue::handle> m_wake;
    bool m_abandoned = false;
};
} // namespace Front
