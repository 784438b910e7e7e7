#pragma once

#include "Finding.h"
#include "SentRequest.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Soak
{
struct caller_answer;

/// Holds what callers sent and replicas did against the platform's rules.
class judge
{
public:
    explicit judge(std::vector<std::string> shards);

    /// Unplanned trouble begins or lasts: bounds in time hold again only some time after its end.
    void noteTrouble(const std::string &what);
    /// Planned work, which ends no bound.
    void noteWork(const std::string &what) const;
    /// Whether bounds in time hold for what began at `since`.
    [[nodiscard]] bool isCalmSince(std::chrono::steady_clock::time_point since) const;

    void noteConfiguration(std::uint64_t version, const std::string &movingService);
    void noteLeaving(const std::string &replica);
    void noteReady(const std::string &replica);
    /// From `since` on the replica states a limit on its request rate; 0: none any more.
    void noteRequestLimit(const std::string &replica, double perSecond, std::chrono::steady_clock::time_point since);
    void noteEvacuated(const std::string &dataCentre, bool isOut);

    void noteSent(const std::string &id, sent_request request);
    /// A request reached a replica. `text` holds what it was: method, path and body.
    void noteArrival(const std::string &id, const std::string &replica, const std::string &service,
                     const std::string &dataCentre, const std::string &method, const std::string &path,
                     const std::string &body);
    void noteRun(const std::string &id, const std::string &service);
    void notePart(const std::string &id, const std::string &digest, part answer);
    void noteAnswer(const std::string &id, const caller_answer &answer);
    /// The connection ended without an answer; `wasPlanned`: all that happened to the daemon was a planned stop.
    void noteCut(const std::string &id, bool wasPlanned);
    /// The caller did not wait for the answer, so that it is not owed.
    void noteLeft(const std::string &id);
    void noteLate(const std::string &id);
    void report(const std::string &rule, const std::string &id, const std::string &text);

    /// Counts the requests that are sent from now on, which must be served.
    void beginRecoveryCheck();
    /// Later requests may be open still when the run ends.
    void endRecoveryCheck();
    /// Checks what shows only at the end.
    void finish();

    [[nodiscard]] const std::vector<finding> &findings() const;
    [[nodiscard]] std::string summary() const;

private:
    /// What counts for one service in the latest window.
    struct repeat_window {
        std::deque<std::chrono::steady_clock::time_point> requests; ///< Sent by callers on a route to the service.
        std::deque<std::chrono::steady_clock::time_point> repeats; ///< Arrivals beyond the first of each request.
    };

    struct stated_limit {
        double perSecond = 0.0;
        std::chrono::steady_clock::time_point since;
        std::deque<std::chrono::steady_clock::time_point> arrivals; ///< In the latest window.
    };

    void checkRequestLimit(const std::string &replica, std::chrono::steady_clock::time_point now);
    void checkGathered(const std::string &id, const sent_request &request, const caller_answer &answer);
    void checkSingle(const std::string &id, const sent_request &request, const caller_answer &answer);
    [[nodiscard]] std::vector<std::string> servicesOf(const sent_request &request) const;
    void checkRepeats(const std::string &service, std::chrono::steady_clock::time_point now);

    std::vector<std::string> m_shards;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point m_troubleAt; ///< When trouble was last seen.
    std::map<std::string, sent_request> m_requests; ///< By id.
    std::map<std::string, std::chrono::steady_clock::time_point> m_leavingSince; ///< Replicas, by id.
    std::map<std::string, std::chrono::steady_clock::time_point> m_outSince; ///< Data centres.
    std::map<std::string, stated_limit> m_requestLimits; ///< By replica.
    std::map<std::uint64_t, std::string> m_movingServices; ///< By configuration version.
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_acceptedAt; ///< By configuration version.
    std::map<std::string, repeat_window> m_repeatWindows; ///< By service.
    std::set<std::pair<std::string, std::string>> m_seen; ///< Ids and services that have had their first arrival.
    std::vector<finding> m_findings;
    std::map<int, std::size_t> m_statuses;
    std::size_t m_cuts = 0;
    bool m_checksRecovery = false;
    std::set<std::string> m_recoveryRequests;
};
} // namespace Soak
