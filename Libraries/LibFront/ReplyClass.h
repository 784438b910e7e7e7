#pragma once

#include "LibCore/Time.h"
#include "LibForward/AttemptFailure.h"
#include "LibForward/LoadReport.h"
#include "LibFront/Answer.h"
#include "LibFront/HttpTypes.h"
#include "LibFront/RequestKind.h"

#include <optional>
#include <string_view>

namespace Front
{
struct header_names;

/// Classification of a replica's complete response.
enum class reply_class {
    Success,
    NotExecuted, ///< The replica reports that it did not execute the request.
    OtherInstance, ///< The address now belongs to a different replica.
    Failure, ///< The replica executed the request and failed.
    Malformed, ///< See response_fault::Content.
};

[[nodiscard]] reply_class classifyReply(const reply_message &reply, const header_names &names, request_kind kind);

/// Returns whether a caller takes the status as a promise that the request was not executed and never will be.
[[nodiscard]] bool promisesNotExecuted(unsigned status);

/// Returns whether the response of a replica that does not state `header_names::notExecuted` may be forwarded. The
/// caller of a request that may run once would send it again after a status that promises that it was not executed.
[[nodiscard]] bool mayForward(const reply_message &reply, request_kind kind);

/// Returns the attempt failure for a class other than Success.
[[nodiscard]] Forward::attempt_failure failureOf(reply_class kind);

/// Parses "running, waiting, slots". Returns nothing if the text is malformed.
[[nodiscard]] std::optional<Forward::load_report> parseLoad(std::string_view text, Core::time_point now);

/// Parses a request rate in requests per second: a decimal number, 0 or more. Returns nothing if the text is malformed.
[[nodiscard]] std::optional<double> parseRequestLimit(std::string_view text);

/// Returns whether the response says that its replica shuts down.
[[nodiscard]] bool announcesShutdown(const reply_message &reply, const header_names &names);

/// Parses a time in seconds: a decimal number, 0 or more. Returns nothing if the text is malformed. Dates are not
/// accepted, since wall clocks differ.
[[nodiscard]] std::optional<Core::duration> parseRetryAfter(std::string_view text);

/// Converts a replica's response to the response for the caller.
[[nodiscard]] answer makeForwardedAnswer(reply_message &&reply);
} // namespace Front
