#include "Processes/BookingCalls.h"

#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "Processes/BookingRecord.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Processes
{
namespace json = boost::json;

std::string incarnationOf(Platform::blocking_http_client &client, const std::string &daemon)
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

void sendBooking(Platform::blocking_http_client &client, const std::string &daemon, const std::string &teamKey,
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
} // namespace Processes
