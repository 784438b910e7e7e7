#include "LibFront/ReplyHead.h"

#include "LibFront/ResponseFault.h"
#include "LibHttp/StatusKind.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <iterator>

namespace Front
{
namespace http = boost::beast::http;

/// Returns whether the body is sent in chunks or without any transfer coding. Requests ask for no other coding, and the
/// parser passes on coded bytes as the body.
static bool hasKnownTransferCoding(const reply_head &head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    return first == last || (std::next(first) == last && boost::beast::iequals(first->value(), "chunked"));
}

bool hasContradictoryFields(const reply_head &head, const std::string &name)
{
    const auto fields = head.equal_range(name);
    return std::any_of(fields.first, fields.second,
                       [&](const auto &field) { return field.value() != fields.first->value(); });
}

std::optional<response_fault> findHeadFault(const reply_head &head, const std::string &requestIdField)
{
    if (Http::statusKindOf(head.result_int()) == Http::status_kind::Invalid) {
        return response_fault::Status;
    }
    if (!hasKnownTransferCoding(head)) {
        return response_fault::TransferCoding;
    }
    if (!requestIdField.empty() && hasContradictoryFields(head, requestIdField)) {
        return response_fault::RequestId;
    }
    return std::nullopt;
}
} // namespace Front
