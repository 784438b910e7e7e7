#pragma once

#include "LibCore/Time.h"
#include "LibForward/AttemptFailure.h"
#include "LibForward/LoadReport.h"
#include "LibFront/Answer.h"
#include "LibFront/HttpTypes.h"

#include <optional>
#include <string_view>

namespace Front
{
struct header_names;

/// What a replica's whole answer means.
enum class reply_class {
    Success,
    NotExecuted, ///< The replica says that it did not run the request.
    OtherInstance, ///< The address belongs to another replica.
    Failure, ///< The replica ran the request and failed.
    Spoiled, ///< The answer lacks what every answer of a replica has.
};

[[nodiscard]] reply_class classifyReply(const reply_message &reply, const header_names &names, bool isPart);

/// The failure that a class other than Success stands for.
[[nodiscard]] Forward::attempt_failure failureOf(reply_class kind);

/// Reads "running, waiting, slots". Returns nothing for any other form.
[[nodiscard]] std::optional<Forward::load_report> parseLoad(std::string_view text, Core::time_point now);

/// A replica's answer as the caller gets it.
[[nodiscard]] answer passedOnAnswer(reply_message &&reply);
} // namespace Front
