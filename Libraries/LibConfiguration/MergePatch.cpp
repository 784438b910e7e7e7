#include "LibConfiguration/MergePatch.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace Configuration
{
namespace json = boost::json;

void mergePatch(json::value &target, const json::value &patch)
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object()) {
        target = json::object();
    }
    for (const json::key_value_pair &member : patch.get_object()) {
        if (member.value().is_null()) {
            target.get_object().erase(member.key());
        } else {
            mergePatch(target.get_object()[member.key()], member.value());
        }
    }
}
} // namespace Configuration
