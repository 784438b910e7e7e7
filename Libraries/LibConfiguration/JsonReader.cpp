#include "LibConfiguration/JsonReader.h"

#include "LibConfiguration/Pointer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cmath>
#include <utility>

namespace Configuration
{
json_reader::json_reader(const boost::json::value &value, std::string path, std::vector<Core::finding> &findings)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_findings(findings)
{
    if (m_object == nullptr) {
        m_findings.push_back({m_path, "must be an object"});
    }
}

std::string json_reader::pathOf(std::string_view name) const
{
    return name.empty() ? m_path : pointerTo(m_path, name);
}

void json_reader::report(std::string_view name, std::string message)
{
    m_findings.push_back({pathOf(name), std::move(message)});
}

const boost::json::value *json_reader::findMember(std::string_view name)
{
    m_requestedMembers.emplace(name);
    return m_object == nullptr ? nullptr : m_object->if_contains(name);
}

void json_reader::require(std::string_view name)
{
    if (m_object != nullptr && !m_object->contains(name)) {
        report(name, "is required");
    }
}

void json_reader::readString(std::string_view name, std::string &target)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        report(name, "must be a string");
        return;
    }
    target.assign(value->get_string().data(), value->get_string().size());
}

void json_reader::readBoolean(std::string_view name, bool &target)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        report(name, "must be true or false");
        return;
    }
    target = value->get_bool();
}

void json_reader::readNumber(std::string_view name, double &target, double minimum, double maximum)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number()) {
        report(name, "must be a number");
        return;
    }
    const double number = value->to_number<double>();
    if (!(number >= minimum && number <= maximum)) {
        report(name, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    target = number;
}

void json_reader::readCount(std::string_view name, std::uint32_t &target, std::uint32_t minimum, std::uint32_t maximum)
{
    double number = target;
    const std::size_t before = m_findings.size();
    readNumber(name, number, minimum, maximum);
    if (m_findings.size() == before && number != std::floor(number)) {
        report(name, "must be a whole number");
        return;
    }
    target = static_cast<std::uint32_t>(number);
}

void json_reader::readUnsigned(std::string_view name, std::uint64_t &target)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (value->is_uint64()) {
        target = value->get_uint64();
    } else if (value->is_int64() && value->get_int64() >= 0) {
        target = static_cast<std::uint64_t>(value->get_int64());
    } else {
        report(name, "must be a whole number of at least 0");
    }
}

void json_reader::readMilliseconds(std::string_view name, std::chrono::milliseconds &target,
                                   std::chrono::milliseconds minimum, std::chrono::milliseconds maximum)
{
    auto number = static_cast<std::uint32_t>(target.count());
    readCount(name, number, static_cast<std::uint32_t>(minimum.count()), static_cast<std::uint32_t>(maximum.count()));
    target = std::chrono::milliseconds(number);
}

void json_reader::readWallTime(std::string_view name, std::chrono::system_clock::time_point &target)
{
    auto seconds =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(target.time_since_epoch()).count());
    readUnsigned(name, seconds);
    constexpr std::uint64_t maximumSeconds = 9'000'000'000; // Later times overflow a 64-bit nanosecond count.
    if (seconds > maximumSeconds) {
        report(name, "must be seconds since 1970, at most 9000000000");
        return;
    }
    target = std::chrono::system_clock::time_point(std::chrono::seconds(seconds));
}

void json_reader::readStringList(std::string_view name, std::vector<std::string> &target)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        report(name, "must be a list of strings");
        return;
    }
    for (const boost::json::value &element : value->get_array()) {
        if (!element.is_string()) {
            report(name, "must be a list of strings");
            return;
        }
        target.emplace_back(element.get_string().data(), element.get_string().size());
    }
}

void json_reader::readStringSet(std::string_view name, std::set<std::string> &target)
{
    std::vector<std::string> elements;
    readStringList(name, elements);
    target.insert(elements.begin(), elements.end());
}

void json_reader::readEach(std::string_view name,
                           const std::function<void(const std::string &, json_reader &)> &readMember)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        report(name, "must be an object");
        return;
    }
    for (const boost::json::key_value_pair &member : value->get_object()) {
        const std::string key(member.key());
        json_reader reader(member.value(), pointerTo(pathOf(name), key), m_findings);
        readMember(key, reader);
        reader.reportUnknownMembers();
    }
}

void json_reader::readChild(std::string_view name, const std::function<void(json_reader &)> &readChild)
{
    const boost::json::value *value = findMember(name);
    if (value == nullptr) {
        return;
    }
    json_reader reader(*value, pathOf(name), m_findings);
    readChild(reader);
    reader.reportUnknownMembers();
}

void json_reader::reportUnknownMembers()
{
    if (m_object == nullptr) {
        return;
    }
    for (const boost::json::key_value_pair &member : *m_object) {
        if (!m_requestedMembers.contains(member.key())) {
            report(member.key(), "is not a known member");
        }
    }
}
} // namespace Configuration
