#include "StandIns/BackendServer.h"

#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponse.h"
#include "StandIns/ExpectedItems.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace StandIns
{
namespace json = boost::json;
using Platform::http_response;

static http_response respondWith(int status, const json::object &body)
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

backend_server::backend_server(std::string shard, std::uint32_t slots, std::uint64_t seed)
    : m_shard(std::move(shard))
    , m_slots(slots)
    , m_random(seed)
    , m_incarnation("incarnation-" + std::to_string(seed))
    , m_thread([this] { runJobs(); })
{
}

backend_server::~backend_server()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    m_thread.join();
}

static void readFaults(const json::object &object, backend_faults &faults)
{
    const auto readFlag = [&object](const char *name, bool &target) {
        if (const json::value *value = object.if_contains(name)) {
            target = value->as_bool();
        }
    };
    readFlag("silent", faults.silent);
    readFlag("failing", faults.failing);
    readFlag("leaving", faults.leaving);
    readFlag("cold", faults.cold);
    readFlag("hides_cold", faults.hidesCold);
    readFlag("crossing", faults.crossing);
    readFlag("shedding", faults.shedding);
    if (const json::value *value = object.if_contains("service_time_us")) {
        faults.serviceTime = std::chrono::microseconds(value->to_number<std::int64_t>());
    }
    if (const json::value *value = object.if_contains("straggler_part")) {
        faults.stragglerPart = value->to_number<double>();
    }
    if (const json::value *value = object.if_contains("gone_snapshots")) {
        faults.goneSnapshots.clear();
        for (const json::value &name : value->as_array()) {
            faults.goneSnapshots.emplace(name.as_string());
        }
    }
}

void backend_server::handle(const Platform::http_request &request, Platform::http_responder responder)
{
    if (request.path == "/faults" && request.method == "POST") {
        const json::object object = json::parse(request.body).as_object();
        const std::scoped_lock lock(m_mutex);
        readFaults(object, m_faults);
        m_mostWhileCold = object.contains("cold") ? 0 : m_mostWhileCold;
        if (const json::value *value = object.if_contains("incarnation")) {
            m_incarnation = std::string(value->as_string());
        }
        responder.respond(respondWith(200, {}));
        return;
    }
    if (request.path == "/runs") {
        http_response response;
        response.body = runsText();
        responder.respond(response);
        return;
    }
    if (request.path == "/v1/health") {
        const std::scoped_lock lock(m_mutex);
        responder.respond(respondWith(200, describe()));
        return;
    }
    const std::string requests = "/v1/requests/";
    if (request.method == "DELETE" && request.path.starts_with(requests)) {
        cancel(request.path.substr(requests.size()));
        responder.respond(respondWith(200, {}));
        return;
    }
    accept(request, std::move(responder));
}

static std::string headerOf(const Platform::http_request &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

void backend_server::accept(const Platform::http_request &request, Platform::http_responder responder)
{
    const std::string snapshot = headerOf(request, "x-snapshot");
    const auto remaining = std::chrono::milliseconds(std::atoll(headerOf(request, "x-time-remaining-ms").c_str()));
    const json::object body = json::parse(request.body).as_object();
    const Core::time_point now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    ++m_received;
    m_lastRequest = now;
    const std::string traceParent = headerOf(request, "traceparent");
    if (traceParent.ends_with("-01")) {
        m_traceParents.push_back(traceParent);
    }
    if (m_faults.goneSnapshots.contains(snapshot)) {
        responder.respond(respondWith(409, {{"snapshot_gone", true}}));
        return;
    }
    if (m_faults.leaving || m_faults.shedding) {
        json::object refusal = describe();
        refusal["not_run"] = true;
        responder.respond(respondWith(503, refusal));
        return;
    }
    m_waiting.push_back({headerOf(request, "x-request-id"),
                         headerOf(request, "x-attempt-id"),
                         snapshot,
                         std::string(body.at("query").as_string()),
                         now + remaining,
                         {},
                         std::move(responder)});
    if (m_faults.cold) {
        m_mostWhileCold = std::max<std::uint64_t>(m_mostWhileCold, m_waiting.size() + m_running.size());
    }
    m_wake.notify_one();
}

/// What it says of itself in answers and refusals.
json::object backend_server::describe() const
{
    const double load = static_cast<double>(m_running.size() + m_waiting.size()) / m_slots;
    return {{"incarnation", m_incarnation},
            {"load", load},
            {"cold", m_faults.cold && !m_faults.hidesCold},
            {"leaving", m_faults.leaving}};
}

void backend_server::cancel(const std::string &attemptId)
{
    const std::scoped_lock lock(m_mutex);
    const auto endIfNamed = [&attemptId](std::vector<backend_job> &jobs) {
        for (auto job = jobs.begin(); job != jobs.end(); ++job) {
            if (job->attemptId == attemptId) {
                job->responder.respond(respondWith(409, {{"cancelled", true}}));
                jobs.erase(job);
                return;
            }
        }
    };
    endIfNamed(m_waiting);
    endIfNamed(m_running);
    m_wake.notify_one();
}

void backend_server::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const Core::time_point now = std::chrono::steady_clock::now();
        finishJobs(now);
        startJobs(now);
        Core::time_point next = now + std::chrono::seconds(1);
        for (const backend_job &job : m_running) {
            next = std::min(next, job.endsAt);
        }
        m_wake.wait_until(lock, next);
    }
}

void backend_server::startJobs(Core::time_point now)
{
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    while (m_running.size() < m_slots && !m_waiting.empty()) {
        backend_job job = std::move(m_waiting.front());
        m_waiting.erase(m_waiting.begin());
        if (now >= job.deadline) {
            job.responder.respond(respondWith(503, {{"not_run", true}}));
            continue;
        }
        ++m_runs[job.requestId];
        if (m_faults.silent) {
            m_silent.push_back(std::move(job));
            continue;
        }
        constexpr int stragglerFactor = 20;
        const bool overloaded = m_faults.cold && m_running.size() + m_waiting.size() > 0;
        constexpr int coldFactor = 3;
        const int usual = m_faults.cold ? coldFactor : 1;
        const int factor = overloaded || draw(m_random) < m_faults.stragglerPart ? stragglerFactor : usual;
        job.endsAt = now + m_faults.serviceTime * factor;
        m_running.push_back(std::move(job));
        m_mostRunning = std::max<std::uint64_t>(m_mostRunning, m_running.size());
    }
}

void backend_server::finishJobs(Core::time_point now)
{
    for (std::size_t index = 0; index < m_running.size();) {
        if (m_running[index].endsAt > now) {
            ++index;
            continue;
        }
        answer(m_running[index]);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void backend_server::answer(backend_job &job)
{
    if (m_faults.failing) {
        job.responder.respond(respondWith(500, {{"error", "fault"}}));
        return;
    }
    json::array items;
    for (const Query::result_item &item : expectedItems(job.snapshot, m_shard, job.query)) {
        items.push_back(json::object {{"id", item.id}, {"score", item.score}});
    }
    json::object body = describe();
    body["request_id"] = m_faults.crossing ? "crossed-" + job.requestId : job.requestId;
    body["snapshot"] = job.snapshot;
    body["shard"] = m_shard;
    body["results"] = std::move(items);
    job.responder.respond(respondWith(200, body));
}

std::string backend_server::runsText()
{
    const std::scoped_lock lock(m_mutex);
    json::object runs;
    for (const auto &[requestId, count] : m_runs) {
        runs[requestId] = count;
    }
    const auto quiet =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_lastRequest);
    return json::serialize(json::object {{"runs", std::move(runs)},
                                         {"received", m_received},
                                         {"since_last_request_ms", quiet.count()},
                                         {"trace_parents", json::array(m_traceParents.begin(), m_traceParents.end())},
                                         {"most_running", m_mostRunning},
                                         {"most_while_cold", m_mostWhileCold}});
}
} // namespace StandIns
