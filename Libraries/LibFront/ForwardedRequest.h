#pragma once

#include "LibFront/HttpTypes.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Conversion of messages for forwarding: end-to-end fields are kept unchanged, hop-by-hop fields are removed.
namespace Front
{
struct header_names;

/// A caller's request as forwarded to replicas, without the fields that differ between attempts.
struct forwarded_request {
    std::string head; ///< Request line and fields, without the terminating empty line.
    std::string body;
};

[[nodiscard]] forwarded_request makeForwardedRequest(request_message &&request, const header_names &names);

/// Returns the complete request text for one attempt.
[[nodiscard]] std::string serializeAttempt(const forwarded_request &text, const header_names &names,
                                           std::int64_t millisecondsLeft, std::string_view instance);

/// Returns the end-to-end fields of a replica's response.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> endToEndFields(const reply_message &reply);
} // namespace Front
