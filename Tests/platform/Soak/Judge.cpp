#include "Judge.h"

#include "Bounds.h"
#include "CallerAnswer.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <iterator>
#include <numeric>
#include <sstream>

namespace Soak
{
static constexpr std::size_t recordSize = 16;
static constexpr std::size_t topRecords = 4; ///< As the soak's configuration says.
static constexpr double minimumCoverage = 0.5;
static constexpr int mostAttempts = 2;
static constexpr std::size_t keptFindings = 200;

judge::judge(std::vector<std::string> shards)
    : m_shards(std::move(shards))
{
}

void judge::noteTrouble(const std::string &what)
{
    m_troubleAt = std::chrono::steady_clock::now();
    if (!what.empty()) {
        noteWork(what);
    }
}

void judge::noteWork(const std::string &what) const
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
    std::cout << at.count() << " ms: " << what << '\n';
}

bool judge::isCalmSince(std::chrono::steady_clock::time_point since) const
{
    return since > m_troubleAt + stability;
}

void judge::report(const std::string &rule, const std::string &id, const std::string &text)
{
    const auto at = std::chrono::steady_clock::now() - m_start;
    finding found {std::chrono::duration_cast<std::chrono::milliseconds>(at), rule, id, text};
    std::cout << found.at.count() << " ms: " << rule << " " << id << ": " << text << '\n';
    if (m_findings.size() < keptFindings) {
        m_findings.push_back(std::move(found));
    }
}

void judge::noteConfiguration(std::uint64_t version, const std::string &movingService)
{
    m_movingServices[version] = movingService;
    m_acceptedAt[version] = std::chrono::steady_clock::now();
}

void judge::noteLeaving(const std::string &replica)
{
    m_leavingSince.try_emplace(replica, std::chrono::steady_clock::now());
}

void judge::noteReady(const std::string &replica)
{
    m_leavingSince.erase(replica);
}

void judge::noteEvacuated(const std::string &dataCentre, bool isOut)
{
    if (isOut) {
        m_outSince[dataCentre] = std::chrono::steady_clock::now();
    } else {
        m_outSince.erase(dataCentre);
    }
}

void judge::noteRequestLimit(const std::string &replica, double perSecond, std::chrono::steady_clock::time_point since)
{
    m_requestLimits.erase(replica);
    if (perSecond > 0.0) {
        m_requestLimits[replica] = {perSecond, since, {}};
    }
}

void judge::checkRequestLimit(const std::string &replica, std::chrono::steady_clock::time_point now)
{
    const auto found = m_requestLimits.find(replica);
    if (found == m_requestLimits.end() || now < found->second.since + stability) {
        return;
    }
    stated_limit &limit = found->second;
    limit.arrivals.push_back(now);
    while (limit.arrivals.front() < now - limitWindow) {
        limit.arrivals.pop_front();
    }
    const double windowSeconds = std::chrono::duration<double>(limitWindow).count();
    const double allowed = limit.perSecond * limitOvershoot * windowSeconds + limitSlack;
    if (static_cast<double>(limit.arrivals.size()) > allowed && isCalmSince(limit.since)) {
        report("limit", "",
               replica + " got " + std::to_string(limit.arrivals.size()) + " requests in a window, "
                   + std::to_string(allowed) + " are allowed");
        limit.arrivals.clear();
    }
}

void judge::noteSent(const std::string &id, sent_request request)
{
    if (m_checksRecovery) {
        m_recoveryRequests.insert(id);
    }
    for (const std::string &service : servicesOf(request)) {
        m_repeatWindows[service].requests.push_back(std::chrono::steady_clock::now());
    }
    m_requests[id] = std::move(request);
}

std::vector<std::string> judge::servicesOf(const sent_request &request) const
{
    switch (request.kind) {
    case route_kind::Gather:
        return m_shards;
    case route_kind::Single:
        return {"one"};
    case route_kind::Once:
        return {"two"};
    case route_kind::Moving:
        break;
    }
    const auto moving = m_movingServices.find(request.configuration);
    return moving == m_movingServices.end() ? std::vector<std::string> {} : std::vector {moving->second};
}

void judge::noteArrival(const std::string &id, const std::string &replica, const std::string &service,
                        const std::string &dataCentre, const std::string &method, const std::string &path,
                        const std::string &body)
{
    const auto now = std::chrono::steady_clock::now();
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        report("unasked", id, "no caller sent it; " + method + " " + path + " reached " + replica);
        return;
    }
    const sent_request &request = found->second;
    if (request.method != method || request.path != path || request.body != body) {
        report("unasked", id, "was changed on its way to " + replica + ": " + method + " " + path);
    }
    const auto leaving = m_leavingSince.find(replica);
    if (leaving != m_leavingSince.end() && now > leaving->second + drainTime && isCalmSince(leaving->second)) {
        report("drain", id, "reached " + replica + " after its drain time");
    }
    const auto out = m_outSince.find(dataCentre);
    if (out != m_outSince.end() && now > out->second + evacuationTime && isCalmSince(out->second)) {
        report("evacuation", id, "reached " + replica + " in " + dataCentre + ", which is out");
    }
    checkRequestLimit(replica, now);
    if (!m_seen.emplace(id, service).second) {
        m_repeatWindows[service].repeats.push_back(now);
        checkRepeats(service, now);
    }
}

/// The requests count whether they arrived or not: a shard may be left out.
void judge::checkRepeats(const std::string &service, std::chrono::steady_clock::time_point now)
{
    repeat_window &window = m_repeatWindows[service];
    for (auto *times : {&window.requests, &window.repeats}) {
        while (!times->empty() && times->front() < now - repeatWindow) {
            times->pop_front();
        }
    }
    const double allowed = repeatRatio * static_cast<double>(window.requests.size()) + repeatSlack;
    if (static_cast<double>(window.repeats.size()) > allowed) {
        report("repeats", "",
               service + " got " + std::to_string(window.repeats.size()) + " beyond the first of each request, "
                   + std::to_string(allowed) + " are allowed");
    }
}

void judge::noteRun(const std::string &id, const std::string &service)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return; // Its arrival was reported.
    }
    sent_request &request = found->second;
    const int runs = ++request.runs[service];
    if (request.kind == route_kind::Once && runs > 1) {
        report("twice", id, "ran more than once");
    }
    if (runs > mostAttempts) {
        report("attempts", id, service + " ran it on " + std::to_string(runs) + " replicas");
    }
    if (request.kind == route_kind::Once && (request.status == 503 || request.status == 429)) {
        report("refused", id, "runs after its refusal");
    }
    if (request.kind != route_kind::Moving) {
        return;
    }
    // Services of versions that were in force, or may have been, since somewhat before the request was sent.
    const auto accepted = m_acceptedAt.find(request.configuration);
    const bool mayBeOlder = request.sentAt < accepted->second + configurationTime || !isCalmSince(accepted->second);
    const auto first = m_movingServices.lower_bound(mayBeOlder ? 0 : request.configuration);
    const bool isAllowed =
        std::any_of(first, m_movingServices.end(), [&](const auto &version) { return version.second == service; });
    if (!isAllowed) {
        report("configuration", id, "was run by " + service + ", as only an older version allows");
    }
}

void judge::notePart(const std::string &id, const std::string &digest, part answer)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end()) {
        found->second.parts[digest] = std::move(answer);
    }
}

static std::vector<std::string> digestsOf(const std::string &field)
{
    std::vector<std::string> digests;
    std::istringstream list(field);
    for (std::string digest; std::getline(list, digest, ',');) {
        digests.push_back(digest.substr(std::min(digest.find_first_not_of(' '), digest.size())));
    }
    return digests;
}

static std::string greatestRecords(const std::vector<std::string> &bodies)
{
    std::vector<std::string> records;
    for (const std::string &body : bodies) {
        for (std::size_t place = 0; place + recordSize <= body.size(); place += recordSize) {
            records.push_back(body.substr(place, recordSize));
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    records.resize(std::min(records.size(), topRecords));
    return std::accumulate(records.begin(), records.end(), std::string());
}

static std::string headerOf(const caller_answer &answer, const std::string &name)
{
    const auto found = answer.headers.find(name);
    return found == answer.headers.end() ? std::string() : found->second;
}

void judge::checkGathered(const std::string &id, const sent_request &request, const caller_answer &answer)
{
    std::set<std::string> services;
    std::vector<std::string> bodies;
    for (const std::string &digest : digestsOf(headerOf(answer, "shard-stamps"))) {
        const auto named = request.parts.find(digest);
        if (named == request.parts.end() || named->second.isFailure) {
            report("mixed", id, "names " + digest + ", which is no good answer to it");
            return;
        }
        if (!services.insert(named->second.service).second) {
            report("mixed", id, "names two answers of " + named->second.service);
        }
        bodies.push_back(named->second.body);
    }
    const std::string missing = headerOf(answer, "missing-shards");
    const std::size_t left = missing.empty() ? 0 : std::stoul(missing);
    if (services.size() + left != m_shards.size()) {
        report("mixed", id, "its parts and those left out are not the shards of one configuration");
    }
    if (static_cast<double>(services.size()) < minimumCoverage * static_cast<double>(m_shards.size())) {
        report("mixed", id, "holds less than the minimum coverage");
    }
    if (answer.body != greatestRecords(bodies)) {
        report("mixed", id, "its records are not the greatest of the parts that it names");
    }
}

void judge::checkSingle(const std::string &id, const sent_request &request, const caller_answer &answer)
{
    const auto named = request.parts.find(headerOf(answer, "server-stamp"));
    if (named == request.parts.end()) {
        report("mixed", id, "has no digest of an answer to it: '" + headerOf(answer, "server-stamp") + "'");
    } else if (named->second.isFailure || named->second.body != answer.body) {
        report("mixed", id, "is not the replica's whole answer");
    }
}

void judge::noteAnswer(const std::string &id, const caller_answer &answer)
{
    sent_request &request = m_requests.at(id);
    request.status = answer.status;
    ++m_statuses[answer.status];
    if (answer.status / 100 == 2) {
        if (request.kind == route_kind::Gather) {
            checkGathered(id, request, answer);
        } else {
            checkSingle(id, request, answer);
        }
        return;
    }
    const bool hasRun =
        std::any_of(request.runs.begin(), request.runs.end(), [](const auto &run) { return run.second > 0; });
    const bool isRefusal = answer.status == 503 || answer.status == 429;
    if (request.kind == route_kind::Once && isRefusal && hasRun) {
        report("refused", id, "was answered " + std::to_string(answer.status) + " though it has run");
    }
    if (!isRefusal && answer.status / 100 == 4) {
        report("denied", id, "was answered " + std::to_string(answer.status) + " though every configuration allows it");
    }
}

void judge::noteCut(const std::string &id, bool wasPlanned)
{
    ++m_cuts;
    const sent_request &request = m_requests.at(id);
    if (wasPlanned && isCalmSince(request.sentAt) && !request.runs.empty()) {
        report("lost", id, "was cut by a planned stop after it had been passed on");
    }
}

void judge::noteLeft(const std::string &id)
{
    m_recoveryRequests.erase(id);
}

void judge::noteLate(const std::string &id)
{
    if (isCalmSince(m_requests.at(id).sentAt)) {
        report("late", id, "has no final answer after its route's timeout");
    }
}

void judge::beginRecoveryCheck()
{
    m_checksRecovery = true;
}

void judge::endRecoveryCheck()
{
    m_checksRecovery = false;
}

void judge::finish()
{
    const auto served = std::count_if(m_recoveryRequests.begin(), m_recoveryRequests.end(),
                                      [&](const std::string &id) { return m_requests.at(id).status / 100 == 2; });
    const auto asked = static_cast<double>(m_recoveryRequests.size());
    if (asked == 0.0 || static_cast<double>(served) < servedInCalm * asked) {
        for (const std::string &id : m_recoveryRequests) {
            const sent_request &request = m_requests.at(id);
            if (request.status / 100 != 2) {
                noteWork(id + " to daemon " + std::to_string(request.daemon) + " ended with "
                         + std::to_string(request.status) + " " + request.path);
            }
        }
        report("recovery", "",
               std::to_string(served) + " of " + std::to_string(m_recoveryRequests.size())
                   + " requests were served after recovery");
    }
}

const std::vector<finding> &judge::findings() const
{
    return m_findings;
}

std::string judge::summary() const
{
    std::ostringstream text;
    text << m_requests.size() << " requests";
    for (const auto &[status, count] : m_statuses) {
        text << ", " << count << " x " << status;
    }
    text << ", " << m_cuts << " cut, " << m_recoveryRequests.size() << " after recovery, " << m_findings.size()
         << " findings";
    return text.str();
}
} // namespace Soak
