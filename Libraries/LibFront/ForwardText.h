#pragma once

#include "LibFront/HttpTypes.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The forms in which messages are handed on: end-to-end fields unchanged, those of one connection left out.
namespace Front
{
struct header_names;

/// A caller's request as replicas get it, without the fields that differ between attempts.
struct forward_text {
    std::string head; ///< Request line and fields; no empty line yet.
    std::string body;
};

[[nodiscard]] forward_text makeForwardText(request_message &&request, const header_names &names);

/// Completes the text for one attempt.
[[nodiscard]] std::string attemptText(const forward_text &text, const header_names &names,
                                      std::int64_t millisecondsLeft, std::string_view instance);

/// The fields of a replica's answer that concern the caller.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> endToEndFields(const reply_message &reply);
} // namespace Front
