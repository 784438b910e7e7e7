#pragma once

#include "LibCore/Finding.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration
{
/// Reads the members of one JSON object and reports every malformed one as a finding with its JSON pointer.
class json_reader
{
public:
    /// Reads `value`, which is located at JSON pointer `path`. Both `value` and `findings` must outlive the reader.
    json_reader(const boost::json::value &value, std::string path, std::vector<Core::finding> &findings);

    /// Each read function leaves the target unchanged if the member is absent, and adds a finding if it is malformed.
    void readString(std::string_view name, std::string &target);
    void readBoolean(std::string_view name, bool &target);
    void readNumber(std::string_view name, double &target, double minimum, double maximum);
    void readCount(std::string_view name, std::uint32_t &target, std::uint32_t minimum, std::uint32_t maximum);
    void readUnsigned(std::string_view name, std::uint64_t &target);
    void readMilliseconds(std::string_view name, std::chrono::milliseconds &target, std::chrono::milliseconds minimum,
                          std::chrono::milliseconds maximum);
    void readWallTime(std::string_view name, std::chrono::system_clock::time_point &target);
    void readStringSet(std::string_view name, std::set<std::string> &target);
    void readStringList(std::string_view name, std::vector<std::string> &target);
    /// Calls `readMember` with a reader for each member of an object of objects.
    void readEach(std::string_view name, const std::function<void(const std::string &, json_reader &)> &readMember);
    /// Calls `readChild` if the member is present.
    void readChild(std::string_view name, const std::function<void(json_reader &)> &readChild);

    /// Adds a finding if the member is absent.
    void require(std::string_view name);
    /// Adds a finding for a member of this object, or for the object itself if the name is empty.
    void report(std::string_view name, std::string message);
    /// Adds a finding for each member that no read function has requested. Must be called last.
    void reportUnknownMembers();

private:
    const boost::json::value *findMember(std::string_view name);
    std::string pathOf(std::string_view name) const;

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    std::vector<Core::finding> &m_findings;
    std::set<std::string, std::less<>> m_requestedMembers;
};
} // namespace Configuration
