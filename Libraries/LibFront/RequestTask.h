#pragma once

#include "LibCore/Time.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RequestState.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/ForwardedRequest.h"
#include "LibFront/TimerQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Front
{
struct exchange_result;
struct front_environment;
enum class response_fault;

/// Executes one request: sends attempts, passes their results to the state machine, and replies to the caller.
/// Shared ownership: attempts that outlive the request still record their results for the replica.
class request_task : public std::enable_shared_from_this<request_task>
{
public:
    request_task(front_environment &environment, Forward::request_plan plan, request_message &&request,
                 Core::duration callerTimeout, reply_function reply);

    void start(Core::time_point now);
    /// Handles a disconnect of the caller: cancels attempts that do not end within a grace period.
    void abandon();

private:
    struct open_attempt {
        Forward::replica_key replica;
        std::uint64_t ticket = 0;
        Core::time_point sentAt;
        Forward::attempt_kind kind = Forward::attempt_kind::First;
    };

    void applyEffects(const Forward::request_effects &effects, Core::time_point now);
    void sendAttempt(const Forward::send_attempt &send, Core::time_point now);
    void onComplete(std::uint32_t attempt, exchange_result exchangeResult);
    void handleReply(std::uint32_t attempt, const open_attempt &sent, reply_message &&reply, Core::time_point now);
    void handleFailure(std::uint32_t attempt, const open_attempt &sent, Forward::attempt_failure failure,
                       Core::time_point now);
    /// Keeps the response of a replica that failed for the caller, or logs why it must not be forwarded.
    void keepFailedReply(const open_attempt &sent, reply_message &&reply);
    /// Counts and logs that a replica sent bytes that are not used as its response.
    void recordInvalidResponse(const open_attempt &sent, response_fault fault);
    /// Records a response or failure for the service's rollout, if one is running.
    void recordRolloutOutcome(const open_attempt &sent, bool failed, Core::time_point now);
    /// Records that an attempt was cancelled before it was sent.
    void recordWithdrawal(const open_attempt &open, Core::time_point now);
    void scheduleWakeup(Core::time_point when);
    /// Returns the text of an attempt; nothing if it must be withdrawn.
    [[nodiscard]] std::optional<std::string>
    serializeAttemptAt(const Forward::replica_key &key, const std::string &instance, Core::time_point now) const;
    /// Cancels queued attempts immediately, and attempts that were sent if they have not ended after the delay.
    void cancelAfterDelay(Core::duration delay);
    void cancelOpenAttempts(Core::time_point now);
    void finish(Forward::request_outcome outcome, Core::time_point now);
    [[nodiscard]] answer makeAnswer(Forward::request_outcome outcome);
    void recordOutcome(Forward::request_outcome outcome, Core::time_point now);

    front_environment &m_environment;
    Forward::request_state m_request;
    std::string m_requestId;
    forwarded_request m_forwardedRequest;
    bool m_isHead;
    Core::time_point m_callerDeadline; ///< The remaining time stated to replicas ends at this time.
    reply_function m_reply;
    std::map<std::uint32_t, open_attempt> m_openAttempts;
    std::optional<reply_message> m_singleReply; ///< The latest response on a route without scatter-gather.
    std::optional<timer_queue::handle> m_wakeupTimer;
    bool m_abandoned = false;
};
} // namespace Front
