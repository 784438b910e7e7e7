#include "InputText.h"
#include "LibCore/Verify.h"
#include "LibMembership/ConfigurationPropagation.h"

#include <boost/json/parse.hpp>

#include <algorithm>

/// A null inside a document has no merge patch: the receiver sees the wrong checksum and fetches the whole document.
static bool holdsNull(const boost::json::value &value)
{
    if (value.is_object()) {
        const auto &object = value.get_object();
        return std::any_of(object.begin(), object.end(), [](const auto &member) { return holdsNull(member.value()); });
    }
    return value.is_null();
}

/// The first line is one document and the rest another or a patch. A patch that is made leads from one to the other,
/// and a patch that was applied changes nothing when it is applied again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text = inputText(data, size);
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view before = text.substr(0, end);
    const std::string_view after = text.substr(std::min(end + 1, text.size()));
    const auto applied = Membership::applyMergePatch(before, after);
    const auto patch = Membership::makeMergePatch(before, after);
    VERIFY(applied.has_value() == patch.has_value());
    if (!patch) {
        return 0;
    }
    const auto again = Membership::applyMergePatch(applied.value(), after);
    VERIFY(again && Membership::documentChecksum(again.value()) == Membership::documentChecksum(applied.value()));
    const auto reached = Membership::applyMergePatch(before, patch.value());
    VERIFY(reached.has_value());
    if (!holdsNull(boost::json::parse(after))) {
        VERIFY(Membership::documentChecksum(reached.value()) == Membership::documentChecksum(after));
    }
    return 0;
}
