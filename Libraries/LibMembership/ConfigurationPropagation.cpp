#include "LibMembership/ConfigurationPropagation.h"

#include "LibConfiguration/MergePatch.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/RendezvousWeight.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace Membership
{
namespace json = boost::json;

std::optional<std::string> chooseConfigurationSource(const member_table &table, const membership_settings &settings,
                                                     Core::time_point now, Core::random_engine &random)
{
    std::vector<std::string> sources;
    for (const auto &[name, member] : table.members) {
        if (member.record.configuration() > table.self.configuration()
            && statusOf(table, member, settings, now) != member_status::Dead) {
            sources.push_back(member.record.peerAddress);
        }
    }
    if (sources.empty()) {
        return std::nullopt;
    }
    return sources[std::uniform_int_distribution<std::size_t>(0, sources.size() - 1)(random)];
}

static json::object makePatch(const json::object &before, const json::object &after)
{
    json::object patch;
    for (const json::key_value_pair &member : before) {
        if (!after.contains(member.key())) {
            patch[member.key()] = nullptr;
        }
    }
    for (const json::key_value_pair &member : after) {
        const json::value *old = before.if_contains(member.key());
        if (old != nullptr && *old == member.value()) {
            continue;
        }
        if (old != nullptr && old->is_object() && member.value().is_object()) {
            patch[member.key()] = makePatch(old->get_object(), member.value().get_object());
        } else {
            patch[member.key()] = member.value();
        }
    }
    return patch;
}

static Core::result<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return Core::error {Core::error_code::InvalidInput, "the document is not a JSON object"};
    }
    return std::move(value.get_object());
}

Core::result<std::string> makeMergePatch(std::string_view before, std::string_view after)
{
    const Core::result<json::object> old = parseObject(before);
    const Core::result<json::object> next = parseObject(after);
    if (!old || !next) {
        return old ? next.error() : old.error();
    }
    return json::serialize(makePatch(old.value(), next.value()));
}

Core::result<std::string> applyMergePatch(std::string_view before, std::string_view patch)
{
    Core::result<json::object> document = parseObject(before);
    Core::result<json::object> changes = parseObject(patch);
    if (!document || !changes) {
        return document ? changes.error() : document.error();
    }
    json::value merged(std::move(document.value()));
    Configuration::mergePatch(merged, std::move(changes.value()));
    return json::serialize(merged);
}

static std::uint64_t checksumOf(const json::value &value)
{
    std::uint64_t sum = 1;
    if (value.is_object()) {
        for (const json::key_value_pair &member : value.get_object()) {
            // Addition is commutative, so the order of members does not change the checksum.
            sum += rendezvousWeight(hashName(std::string_view(member.key())), checksumOf(member.value()));
        }
        return sum;
    }
    if (value.is_array()) {
        for (const json::value &item : value.get_array()) {
            sum = rendezvousWeight(sum, checksumOf(item));
        }
        return sum;
    }
    return hashName(json::serialize(value));
}

std::uint64_t documentChecksum(std::string_view text)
{
    const Core::result<json::object> document = parseObject(text);
    return document ? checksumOf(document.value()) : 0;
}
} // namespace Membership
