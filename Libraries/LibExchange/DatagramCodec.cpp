#include "LibExchange/DatagramCodec.h"

#include "LibExchange/WordBuffer.h"
#include "LibWire/GossipCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

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
    const std::optional<word_buffer> words = isKnown ? copyWords(bytes.substr(1)) : std::nullopt;
    if (!words) {
        return std::nullopt;
    }
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words->data(), words->size()));
        return datagram {static_cast<datagram_kind>(bytes[0]),
                         Wire::decodeGossip(reader.getRoot<Wire::Schema::GossipMessage>())};
    } catch (const kj::Exception &) {
        return std::nullopt; // The function that receives the datagram logs it as malformed.
    }
}
} // namespace Exchange
