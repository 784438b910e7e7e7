#include "LibMembership/ParseVmList.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <utility>

namespace Membership
{
namespace json = boost::json;

static std::string readText(const json::object &object, std::string_view member)
{
    const json::value *value = object.if_contains(member);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

Core::result<std::vector<listed_vm>> parseVmList(std::string_view text)
{
    boost::system::error_code error;
    const json::value list = json::parse(text, error);
    if (error || !list.is_array()) {
        return Core::error {Core::error_code::InvalidInput, "the list of VMs is not a JSON array"};
    }
    std::vector<listed_vm> vms;
    for (const json::value &value : list.get_array()) {
        if (!value.is_object()) {
            continue;
        }
        const json::object &object = value.get_object();
        const json::value *leaving = object.if_contains("leaving");
        listed_vm vm {readText(object, "name"), readText(object, "caller_address"), readText(object, "peer_address"),
                      readText(object, "data_centre"), leaving != nullptr && leaving->is_bool() && leaving->get_bool()};
        if (!vm.name.empty() && !vm.peerAddress.empty()) {
            vms.push_back(std::move(vm));
        }
    }
    return vms;
}
} // namespace Membership
