#include "DecodeWords.h"
#include "LibCore/Verify.h"
#include "LibWire/GossipCodec.h"

#include <capnp/message.h>

/// Whatever a peer's words hold, a message that decodes reads back the same after it was written.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = decodeWords<Wire::Schema::GossipMessage>(data, size, Wire::decodeGossip);
    if (!message) {
        return 0;
    }
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Wire::Schema::GossipMessage>();
    Wire::encodeGossip(*message, root);
    const Membership::gossip_message again = Wire::decodeGossip(root.asReader());
    VERIFY(again.sender == message->sender && again.configurationNumber == message->configurationNumber);
    VERIFY(again.newestNumber == message->newestNumber && again.digest == message->digest);
    VERIFY(again.records == message->records && again.requestedIds == message->requestedIds
           && again.blobs == message->blobs);
    return 0;
}
