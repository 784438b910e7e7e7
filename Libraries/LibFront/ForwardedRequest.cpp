#include "LibFront/ForwardedRequest.h"

#include "LibFront/HeaderNames.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace Front
{
namespace http = boost::beast::http;

/// Returns whether a field is hop-by-hop, or frames the message and is therefore regenerated.
static bool isHopByHopField(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

/// Returns the field names that the Connection field declares as hop-by-hop.
static std::set<std::string, boost::beast::iless> connectionFieldNames(const http::fields &fields)
{
    std::set<std::string, boost::beast::iless> names;
    const auto range = fields.equal_range(http::field::connection);
    for (auto field = range.first; field != range.second; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            names.emplace(token);
        }
    }
    return names;
}

template<typename Visit> static void forEachEndToEndField(const http::fields &fields, Visit visit)
{
    const auto dropped = connectionFieldNames(fields);
    for (const auto &field : fields) {
        if (!isHopByHopField(field.name()) && !dropped.contains(std::string(field.name_string()))) {
            visit(field);
        }
    }
}

static void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

forwarded_request makeForwardedRequest(request_message &&request, const header_names &names)
{
    forwarded_request text;
    text.head.reserve(512);
    text.head += std::string_view(request.method_string());
    text.head += ' ';
    text.head += std::string_view(request.target());
    text.head += " HTTP/1.1\r\n";
    forEachEndToEndField(request, [&](const http::fields::value_type &field) {
        const bool isRegenerated = boost::beast::iequals(field.name_string(), names.remainingTime)
            || boost::beast::iequals(field.name_string(), names.targetInstance)
            || field.name() == http::field::accept_encoding;
        if (!isRegenerated) {
            appendField(text.head, field.name_string(), field.value());
        }
    });
    const bool hasBody = !request.body().empty() || request.count(http::field::content_length) > 0
        || request.count(http::field::transfer_encoding) > 0;
    if (hasBody) {
        appendField(text.head, "Content-Length", std::to_string(request.body().size()));
    }
    text.body = std::move(request.body());
    return text;
}

std::string serializeAttempt(const forwarded_request &text, const header_names &names, std::int64_t millisecondsLeft,
                             std::string_view instance)
{
    std::string attempt;
    attempt.reserve(text.head.size() + text.body.size() + 128);
    attempt += text.head;
    appendField(attempt, names.remainingTime, std::to_string(millisecondsLeft));
    appendField(attempt, names.targetInstance, instance);
    attempt += "\r\n";
    attempt += text.body;
    return attempt;
}

std::vector<std::pair<std::string, std::string>> endToEndFields(const reply_message &reply)
{
    std::vector<std::pair<std::string, std::string>> fields;
    forEachEndToEndField(
        reply, [&](const http::fields::value_type &field) { fields.emplace_back(field.name_string(), field.value()); });
    return fields;
}
} // namespace Front
