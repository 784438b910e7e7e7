#include "LibPlatform/SlowStartCodec.h"

#include "LibPlatform/SlowStartMessage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Platform
{
namespace json = boost::json;

/// Positions of a record's fields. A record is encoded as an array without field names, since thousands of records are
/// sent.
enum field : std::size_t {
    Replica,
    Configuration,
    Generation,
    Incarnation,
    Level,
    FieldCount,
};

std::string encodeSlowStart(const slow_start_message &message)
{
    json::array claims;
    for (const std::string &claim : message.claims) {
        claims.emplace_back(claim);
    }
    json::array records;
    for (const Backend::slow_start_record &record : message.records) {
        records.emplace_back(
            json::array {record.replica, record.configuration, record.generation, record.incarnation, record.level});
    }
    return json::serialize(json::object {{"claims", std::move(claims)}, {"records", std::move(records)}});
}

static std::optional<std::uint64_t> readNumber(const json::value &value)
{
    boost::system::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

static std::optional<Backend::slow_start_record> readRecord(const json::value &value)
{
    if (!value.is_array() || value.get_array().size() != FieldCount) {
        return std::nullopt;
    }
    const json::array &fields = value.get_array();
    const auto configuration = readNumber(fields[Configuration]);
    const auto generation = readNumber(fields[Generation]);
    const auto level = readNumber(fields[Level]);
    const bool named = fields[Replica].is_string() && fields[Incarnation].is_string();
    if (!named || !configuration || !generation || !level || *level > Backend::completedSlowStartLevel) {
        return std::nullopt;
    }
    return Backend::slow_start_record {std::string(fields[Replica].get_string()), *configuration, *generation,
                                       std::string(fields[Incarnation].get_string()),
                                       static_cast<std::uint32_t>(*level)};
}

std::optional<slow_start_message> decodeSlowStart(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    const json::value *claims = value.get_object().if_contains("claims");
    const json::value *records = value.get_object().if_contains("records");
    if (claims == nullptr || records == nullptr || !claims->is_array() || !records->is_array()) {
        return std::nullopt;
    }
    slow_start_message message;
    for (const json::value &claim : claims->get_array()) {
        if (!claim.is_string()) {
            return std::nullopt;
        }
        message.claims.emplace_back(claim.get_string());
    }
    for (const json::value &element : records->get_array()) {
        auto record = readRecord(element);
        if (!record) {
            return std::nullopt;
        }
        message.records.push_back(std::move(*record));
    }
    return message;
}
} // namespace Platform
