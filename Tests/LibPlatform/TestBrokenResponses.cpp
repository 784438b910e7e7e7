#include "ScriptedServer.h"

#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ReplicaReport.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/HttpClient.h"
#include "LibPlatform/ShardCall.h"
#include "LibPlatform/StoreClient.h"
#include "LibQuery/ShardAnswer.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using Core::error_code;
using namespace std::chrono_literals;

namespace
{
const std::vector<std::string> invalidStatuses {"000", "001", "099", "600", "999"};

/// Returns a response with the status and the body, and with an entity tag.
std::string response(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + " Reason\r\nETag: \"7\"\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Platform::call_outcome outcomeOf(const scripted_server &server, Platform::http_call call)
{
    Platform::http_client client(1);
    call.url = server.url() + "/";
    call.timeout = 2s;
    std::optional<Platform::call_outcome> outcome;
    client.start(std::move(call), [&](Platform::call_outcome ended) { outcome = std::move(ended); });
    while (!outcome) {
        client.run(100ms);
    }
    return std::move(*outcome);
}

/// Expects that the client accepts no such response, whether it keeps header fields or not, and does not wait for more.
void expectNoResponse(const std::string &bytes)
{
    for (const after_response then : {after_response::KeepOpen, after_response::Close}) {
        const scripted_server server(bytes, then);
        for (const auto headers : {Platform::response_headers::Kept, Platform::response_headers::Dropped}) {
            Platform::http_call call;
            call.responseHeaders = headers;
            const Platform::call_failure failure = outcomeOf(server, std::move(call)).failure;
            EXPECT_NE(failure, Platform::call_failure::None) << bytes;
            EXPECT_NE(failure, Platform::call_failure::TimedOut) << bytes;
            EXPECT_NE(failure, Platform::call_failure::ConnectFailed) << bytes << "the request may have been executed";
        }
    }
}

/// Expects that the client accepts the response, and returns it.
Platform::http_response expectResponse(const std::string &bytes)
{
    const scripted_server server(bytes);
    Platform::call_outcome outcome = outcomeOf(server, {});
    EXPECT_EQ(outcome.failure, Platform::call_failure::None) << bytes;
    return std::move(outcome.response);
}

/// Returns what the attempt at a shard ended with.
Backend::attempt_failure failureOfAttempt(const std::string &bytes)
{
    const scripted_server server(bytes);
    Platform::shard_call shard;
    shard.address = server.url().substr(std::string("http://").size());
    Platform::http_call call = Platform::encodeShardCall(shard);
    const auto decoded = Platform::decodeShardAnswer(outcomeOf(server, std::move(call)));
    const auto *failed = std::get_if<Backend::failed_attempt>(&decoded);
    EXPECT_NE(failed, nullptr) << bytes;
    return failed == nullptr ? Backend::attempt_failure::NotRun : failed->failure;
}
} // namespace

/// Guards against a status outside of HTTP that counts as a response.
TEST(BrokenResponses, StatusOutsideOfHttpIsNoResponse)
{
    for (const std::string &status : invalidStatuses) {
        expectNoResponse(response(status, "", "{}"));
    }
}

TEST(BrokenResponses, HealthCheckFailsWithStatusOutsideOfHttp)
{
    const std::string report = R"({"incarnation": "i-1", "load": 0})";
    for (const std::string &status : invalidStatuses) {
        const scripted_server server(response(status, "", report));
        Platform::http_call call = Platform::encodeHealthCall(server.url().substr(std::string("http://").size()));
        EXPECT_FALSE(Platform::decodeHealth(outcomeOf(server, std::move(call)))) << status;
    }
}

/// Guards against a broken response that is believed to say that the request did not run, which allows another attempt.
TEST(BrokenResponses, NothingIsTakenFromResponseWithStatusOutsideOfHttp)
{
    for (const std::string &status : invalidStatuses) {
        for (const std::string claim : {"not_run", "cancelled", "snapshot_gone"}) {
            const Backend::attempt_failure failure =
                failureOfAttempt(response(status, "", R"({")" + claim + R"(":true})"));
            EXPECT_FALSE(Backend::provesNotRun(failure)) << status << claim;
            EXPECT_NE(failure, Backend::attempt_failure::Cancelled) << status << claim;
        }
    }
    EXPECT_EQ(failureOfAttempt(response("503", "", R"({"not_run":true})")), Backend::attempt_failure::NotRun);
    EXPECT_EQ(failureOfAttempt(response("409", "", R"({"cancelled":true})")), Backend::attempt_failure::Cancelled);
}

/// Guards against a broken response or a redirection of the store that counts as a successful read or write.
TEST(BrokenResponses, StoreCallSucceedsOnlyWithStatusOfSuccess)
{
    std::vector<std::string> statuses = invalidStatuses;
    statuses.insert(statuses.end(), {"300", "301", "302", "304", "307", "399"});
    for (const std::string &status : statuses) {
        const std::string body = status == "304" ? "" : "other";
        const scripted_server server(response(status, "", body));
        Platform::store_client client(server.url(), 2s);
        const auto read = client.read("c");
        ASSERT_FALSE(read) << status;
        EXPECT_EQ(read.error().code, error_code::Unavailable) << status;
        const auto written = client.write("c", "1", "\"6\"");
        ASSERT_FALSE(written) << status;
        EXPECT_EQ(written.error().code, error_code::TimedOut) << status << ": the result is unknown";
        const auto watched = client.watch("c", "\"6\"", 50ms);
        EXPECT_EQ(static_cast<bool>(watched), status == "304") << status;
    }
    const scripted_server server(response("200", "", "body"));
    Platform::store_client client(server.url(), 2s);
    EXPECT_EQ(client.read("c").value().body, "body");
    EXPECT_EQ(client.write("c", "1", "\"6\"").value(), "\"7\"");
}

/// Guards against a head whose field names hold a blank or a control byte.
TEST(BrokenResponses, InvalidFieldNameIsNoResponse)
{
    for (const std::string &line :
         {std::string("X Y: a"), std::string("X\tY: a"), std::string("X\x01Y: a"), std::string("X\x7fY: a"),
          std::string("X\x80Y: a"), std::string("X[Y]: a"), std::string("X : a"), std::string("X\0Y: a", 6),
          std::string("X"), std::string(": a"), std::string("HTTP/X Y: a")}) {
        expectNoResponse(response("200", line + "\r\n", "{}"));
    }
}

/// Guards against a line that begins with a blank, which some readers join to the field before it.
TEST(BrokenResponses, FoldedLineIsNoPartOfAResponse)
{
    expectNoResponse(response("200", " X: a\r\n", "{}"));
    expectNoResponse(response("200", "\tX: a\r\n", "{}"));
}

/// Guards against a field after the body that replaces one of the head.
TEST(BrokenResponses, TrailerFieldsAreNotMergedIntoTheHead)
{
    const std::map<std::string, std::string> headers =
        expectResponse("HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
                       "ETag: \"8\"\r\nX-Trailer: a\r\n\r\n")
            .headers;
    EXPECT_EQ(headers.at("etag"), "\"7\"");
    EXPECT_FALSE(headers.contains("x-trailer"));
}

/// Guards against coded bytes that are taken for the body. libcurl decodes the codings that it knows.
TEST(BrokenResponses, BodyInUnknownTransferCodingIsNoResponse)
{
    for (const std::string coding : {"gzip", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, xchunked"}) {
        expectNoResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
    }
}

TEST(BrokenResponses, SoundResponsesAreAccepted)
{
    const std::string body = "{}";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nETag: \"1\"\r\nX-Early: a\r\n\r\n";
    for (const std::string &bytes : {response("200", "", body), interim + response("200", "", body),
                                     response("200", "X-Token!#$%&'*+-.^_`|~9: a\r\nX-Empty:\r\n", body)}) {
        const Platform::http_response accepted = expectResponse(bytes);
        EXPECT_EQ(accepted.status, 200);
        EXPECT_EQ(accepted.body, body);
        EXPECT_EQ(accepted.headers.at("etag"), "\"7\"");
        EXPECT_FALSE(accepted.headers.contains("x-early"));
    }
    EXPECT_EQ(expectResponse(response("599", "", body)).status, 599);
    EXPECT_EQ(expectResponse("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n" + body).status, 200);
}
