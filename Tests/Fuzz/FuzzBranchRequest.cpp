#include "DecodeWords.h"
#include "LibCore/Verify.h"
#include "LibWire/BranchCodec.h"

#include <capnp/message.h>

/// A request that decodes gives a branch a bounded time, and reads back the same after it was written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto request = decodeWords<Wire::Schema::BranchRequest>(data, size, Wire::decodeBranchRequest);
    if (!request) {
        return 0;
    }
    VERIFY(request->timeRemaining >= Core::duration::zero() && request->timeRemaining <= std::chrono::hours(1));
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::BranchRequest>();
    Wire::encodeBranchRequest(*request, root);
    const Wire::branch_request again = Wire::decodeBranchRequest(root.asReader());
    VERIFY(again.requestId == request->requestId && again.service == request->service && again.route == request->route);
    VERIFY(again.team == request->team && again.snapshot == request->snapshot && again.version == request->version);
    VERIFY(again.text == request->text && again.traceParent == request->traceParent);
    VERIFY(again.timeRemaining == request->timeRemaining && again.idempotent == request->idempotent);
    VERIFY(again.shards == request->shards && again.dataCentres == request->dataCentres);
    VERIFY(again.configurationNumber == request->configurationNumber);
    return 0;
}
