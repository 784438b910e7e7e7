#include "LibFront/ResponseFault.h"

namespace Front
{
std::string_view responseFaultName(response_fault fault)
{
    switch (fault) {
    case response_fault::Syntax:
        return "syntax";
    case response_fault::Status:
        return "status";
    case response_fault::FoldedLine:
        return "folded_line";
    case response_fault::TransferCoding:
        return "transfer_coding";
    case response_fault::RequestId:
        return "request_id";
    case response_fault::Content:
        return "content";
    }
    return "unknown";
}
} // namespace Front
