#include "Processes/BookingLoad.h"

#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace Processes
{
namespace json = boost::json;

booking_load::booking_load(std::vector<std::string> daemons, std::string teamKey, int callers)
    : m_daemons(std::move(daemons))
    , m_teamKey(std::move(teamKey))
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { run(caller); });
    }
}

booking_load::~booking_load()
{
    stop();
}

std::vector<booking_record> booking_load::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    const std::scoped_lock lock(m_mutex);
    return m_records;
}

/// Returns the incarnation that the daemon gives for itself, or an empty string.
static std::string incarnationOf(Platform::blocking_http_client &client, const std::string &daemon)
{
    Platform::http_call call;
    call.url = "http://" + daemon + "/v1/entries";
    call.timeout = std::chrono::seconds(1);
    const Platform::call_outcome outcome = client.send(std::move(call));
    boost::system::error_code error;
    const json::value body = json::parse(outcome.response.body, error);
    if (outcome.failure != Platform::call_failure::None || error) {
        return {};
    }
    for (const json::value &entry : body.at("entries").as_array()) {
        if (entry.at("address").as_string() == daemon) {
            return std::string(entry.at("incarnation").as_string());
        }
    }
    return {};
}

static void sendBooking(Platform::blocking_http_client &client, const std::string &daemon, const std::string &teamKey,
                        booking_record &record)
{
    Platform::http_call call;
    call.method = "POST";
    call.url = "http://" + daemon + "/v1/query/search/book";
    call.headers = {"Authorization: Bearer " + teamKey, "X-Request-Id: " + record.requestId};
    call.body = json::serialize(json::object {{"query", "book"}, {"key", record.requestId}});
    call.timeout = std::chrono::seconds(3);
    call.reuse = Platform::connection_reuse::Forbidden;
    const Platform::call_outcome outcome = client.send(std::move(call));
    if (outcome.failure != Platform::call_failure::None) {
        record.unknown = true;
        return;
    }
    const std::string told(json::parse(outcome.response.body).at("outcome").as_string());
    record.answered = record.answered || told == "answered";
    record.saidNotRun = record.saidNotRun || told == "not_run";
    record.unknown = record.unknown || told == "unknown";
}

void booking_load::run(int caller)
{
    Platform::blocking_http_client client;
    for (int number = 0; !m_stopping; ++number) {
        const std::string &daemon = m_daemons[static_cast<std::size_t>(caller + number) % m_daemons.size()];
        const std::string incarnation = incarnationOf(client, daemon);
        if (incarnation.empty()) {
            continue;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        booking_record record;
        record.requestId = incarnation + "."
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + "."
            + std::to_string(caller) + "-" + std::to_string(number);
        // Every fifth booking is asked for elsewhere first, so that its own daemon hears of it late.
        if (number % 5 == 4) {
            sendBooking(client, m_daemons[static_cast<std::size_t>(caller + number + 1) % m_daemons.size()], m_teamKey,
                        record);
        }
        sendBooking(client, daemon, m_teamKey, record);
        if (!record.answered) {
            for (const std::string &other : m_daemons) {
                sendBooking(client, other, m_teamKey, record);
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_records.push_back(std::move(record));
    }
}
} // namespace Processes
