#include "Processes/CallerLoad.h"

#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "StandIns/AnswerCheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace Processes
{
namespace json = boost::json;

caller_load::caller_load(std::vector<std::string> daemons, std::string teamKey, int callers)
    : m_daemons(std::move(daemons))
    , m_teamKey(std::move(teamKey))
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { run(caller); });
    }
}

caller_load::~caller_load()
{
    stop();
}

load_tally caller_load::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return take();
}

load_tally caller_load::take()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_tally, load_tally());
}

static std::vector<std::string> fetchEntries(Platform::blocking_http_client &client,
                                             const std::vector<std::string> &daemons, Core::time_point &until)
{
    for (const std::string &daemon : daemons) {
        Platform::http_call call;
        call.url = "http://" + daemon + "/v1/entries";
        call.timeout = std::chrono::seconds(1);
        const Platform::call_outcome outcome = client.send(std::move(call));
        if (outcome.failure != Platform::call_failure::None || outcome.response.status != 200) {
            continue;
        }
        const json::object body = json::parse(outcome.response.body).as_object();
        std::vector<std::string> addresses;
        for (const json::value &entry : body.at("entries").as_array()) {
            addresses.emplace_back(entry.at("address").as_string());
        }
        until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(body.at("time_to_live_ms").to_number<std::int64_t>());
        if (!addresses.empty()) {
            return addresses;
        }
    }
    return {};
}

static void countAnswer(const json::object &answer, const std::string &query, double milliseconds, load_tally &tally)
{
    ++tally.outcomes[std::string(answer.at("outcome").as_string())];
    if (const json::value *reason = answer.if_contains("reason")) {
        ++tally.reasons[std::string(reason->as_string())];
    }
    if (!answer.contains("results") || answer.at("shards_answered").to_number<int>() == 0) {
        return;
    }
    tally.milliseconds.push_back(milliseconds);
    tally.leastCoverage = std::min(tally.leastCoverage, answer.at("coverage").to_number<double>());
    ++tally.snapshots[std::string(answer.at("snapshot").as_string())];
    tally.wrongAnswers += StandIns::answerIsRight(answer, query) ? 0 : 1;
}

void caller_load::run(int caller)
{
    Platform::blocking_http_client client;
    std::vector<std::string> entries;
    Core::time_point until;
    for (int number = 0; !m_stopping; ++number) {
        if (entries.empty() || std::chrono::steady_clock::now() >= until) {
            entries = fetchEntries(client, m_daemons, until);
            continue;
        }
        const std::string query = "q" + std::to_string(caller) + "-" + std::to_string(number);
        Platform::http_call call;
        call.method = "POST";
        call.url =
            "http://" + entries[static_cast<std::size_t>(caller + number) % entries.size()] + "/v1/query/search/lookup";
        call.headers = {"Authorization: Bearer " + m_teamKey};
        call.body = json::serialize(json::object {{"query", query}});
        call.timeout = std::chrono::seconds(5);
        const Core::time_point start = std::chrono::steady_clock::now();
        const Platform::call_outcome outcome = client.send(std::move(call));
        const double milliseconds = Core::toMilliseconds(std::chrono::steady_clock::now() - start);
        const std::scoped_lock lock(m_mutex);
        if (outcome.failure != Platform::call_failure::None) {
            ++m_tally.outcomes["cut"];
            entries.clear(); // Callers ask again when an address fails them.
            continue;
        }
        countAnswer(json::parse(outcome.response.body).as_object(), query, milliseconds, m_tally);
    }
}
} // namespace Processes
