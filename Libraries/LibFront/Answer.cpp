#include "LibFront/Answer.h"

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Front
{
static void addHeader(std::string &text, const std::string &name, const std::string &value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

std::string writeAnswer(const answer &answer)
{
    std::string text;
    text.reserve(256 + answer.body.size());
    text += "HTTP/1.1 ";
    text += std::to_string(answer.status);
    text += ' ';
    text += std::string(boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.status)));
    text += "\r\n";
    for (const auto &[name, value] : answer.headers) {
        addHeader(text, name, value);
    }
    if (answer.bodyAllowed) {
        addHeader(text, "Content-Length", std::to_string(answer.body.size()));
    } else if (answer.contentLengthWithoutBody) {
        addHeader(text, "Content-Length", *answer.contentLengthWithoutBody);
    }
    if (answer.closeAfter) {
        addHeader(text, "Connection", "close");
    }
    text += "\r\n";
    if (answer.bodyAllowed) {
        text += answer.body;
    }
    return text;
}

answer errorAnswer(unsigned status, const std::string &message)
{
    answer result;
    result.status = status;
    result.headers.emplace_back("Content-Type", "application/json");
    result.body = boost::json::serialize(boost::json::object {{"error", message}});
    return result;
}
} // namespace Front
