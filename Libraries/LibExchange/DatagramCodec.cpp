#include "LibExchange/DatagramCodec.h"

#include "LibWire/GossipCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <vector>

namespace Exchange
{
std::string encodeDatagram(datagram_kind kind, const Membership::gossip_message &message)
{
    capnp::MallocMessageBuilder builder;
    Wire::encodeGossip(message, builder.initRoot<Wire::Schema::GossipMessage>());
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    std::string result(1, static_cast<char>(kind));
    result.append(bytes.begin(), bytes.size());
    return result;
}

std::optional<datagram> decodeDatagram(std::string_view bytes)
{
    const bool isKnown = !bytes.empty()
        && (bytes[0] == static_cast<char>(datagram_kind::Round) || bytes[0] == static_cast<char>(datagram_kind::Reply));
    if (!isKnown || (bytes.size() - 1) % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    // The reader needs whole words at an aligned place.
    std::vector<capnp::word> words((bytes.size() - 1) / sizeof(capnp::word));
    std::memcpy(static_cast<void *>(words.data()), bytes.data() + 1, bytes.size() - 1);
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        return datagram {static_cast<datagram_kind>(bytes[0]),
                         Wire::decodeGossip(reader.getRoot<Wire::Schema::GossipMessage>())};
    } catch (const kj::Exception &) {
        return std::nullopt; // The caller counts and logs what it cannot read.
    }
}
} // namespace Exchange
