#include "LibFront/ReplyClass.h"

#include "LibFront/ForwardedRequest.h"
#include "LibFront/HeaderNames.h"
#include "LibFront/ReplyHead.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Front
{
namespace http = boost::beast::http;

static constexpr unsigned misdirectedRequestStatus = 421;

bool promisesNotExecuted(unsigned status)
{
    constexpr std::array<unsigned, 4> statuses {408, misdirectedRequestStatus, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

bool mayForward(const reply_message &reply, request_kind kind)
{
    return kind != request_kind::AtMostOnce || !promisesNotExecuted(reply.result_int());
}

reply_class classifyReply(const reply_message &reply, const header_names &names, request_kind kind)
{
    if (hasContradictoryFields(reply, names.digest)) {
        return reply_class::Malformed;
    }
    const unsigned status = reply.result_int();
    // The digest proves that the replica has worked on the request.
    if (status == misdirectedRequestStatus && reply.count(names.digest) == 0) {
        return reply_class::OtherInstance;
    }
    if (reply.count(names.notExecuted) > 0) {
        return reply_class::NotExecuted;
    }
    if (status >= 500 || !mayForward(reply, kind)) {
        return reply_class::Failure;
    }
    const bool isSuccess = status / 100 == 2;
    if (isSuccess && (reply.count(names.digest) == 0 || reply.count(http::field::content_encoding) > 0)) {
        return reply_class::Malformed;
    }
    return isSuccess || kind != request_kind::Part ? reply_class::Success : reply_class::Failure;
}

Forward::attempt_failure failureOf(reply_class kind)
{
    switch (kind) {
    case reply_class::NotExecuted:
        return Forward::attempt_failure::NotExecuted;
    case reply_class::OtherInstance:
        return Forward::attempt_failure::OtherInstance;
    case reply_class::Failure:
        return Forward::attempt_failure::Error;
    case reply_class::Success:
    case reply_class::Malformed:
        return Forward::attempt_failure::ConnectionLost;
    }
    return Forward::attempt_failure::ConnectionLost;
}

std::optional<Forward::load_report> parseLoad(std::string_view text, Core::time_point now)
{
    std::array<unsigned, 3> numbers {};
    const char *cursor = text.data();
    const char *const end = text.data() + text.size();
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        while (cursor != end && *cursor == ' ') {
            ++cursor;
        }
        const auto [next, failure] = std::from_chars(cursor, end, numbers[index]);
        const bool isLastNumber = index + 1 == numbers.size();
        if (failure != std::errc() || (!isLastNumber && (next == end || *next != ','))) {
            return std::nullopt;
        }
        cursor = isLastNumber ? next : next + 1;
    }
    return Forward::load_report {numbers[0], numbers[1], numbers[2], now};
}

/// Parses a finite decimal number, 0 or more.
static std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0.0;
    const char *const end = text.data() + text.size();
    const auto [next, failure] = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool isValid = failure == std::errc() && next == end && std::isfinite(number) && number >= 0.0;
    return isValid ? std::optional(number) : std::nullopt;
}

std::optional<double> parseRequestLimit(std::string_view text)
{
    return parseDecimal(text);
}

bool announcesShutdown(const reply_message &reply, const header_names &names)
{
    const auto notices = reply.equal_range(names.shuttingDown);
    return std::any_of(notices.first, notices.second, [](const auto &notice) { return notice.value() != "0"; });
}

std::optional<Core::duration> parseRetryAfter(std::string_view text)
{
    constexpr double maximumSeconds = 1e9; // Keeps the conversion within the range of the type.
    const std::optional<double> seconds = parseDecimal(text);
    return seconds ? std::optional(Core::fromSeconds(std::min(*seconds, maximumSeconds))) : std::nullopt;
}

answer makeForwardedAnswer(reply_message &&reply)
{
    answer result;
    result.status = reply.result_int();
    result.headers = endToEndFields(reply);
    if (reply.count(http::field::content_length) > 0) {
        result.contentLengthWithoutBody = std::string(reply[http::field::content_length]);
    }
    const bool neverHasBody = result.status / 100 == 1 || result.status == 204 || result.status == 304;
    result.bodyAllowed = !neverHasBody;
    if (result.status == 204) {
        result.contentLengthWithoutBody.reset();
    }
    result.body = std::move(reply.body());
    return result;
}
} // namespace Front
