#include "LibWire/GossipCodec.h"

#include "LibWire/CheckLength.h"
#include "LibWire/GossipSize.h"
#include "LibWire/TextCodec.h"

#include <capnp/message.h>

namespace Wire
{
/// No daemon sends longer lists: it keeps at most this many members, and its messages are far smaller.
static constexpr unsigned maximumListItems = 4096;

static void encodeRecord(const Membership::member_record &record, Schema::MemberRecord::Builder builder)
{
    builder.setName(textOf(record.name));
    builder.setIncarnation(record.incarnation);
    builder.setHeartbeat(record.heartbeat);
    builder.setCallerAddress(textOf(record.callerAddress));
    builder.setPeerAddress(textOf(record.peerAddress));
    builder.setDataCentre(textOf(record.dataCentre));
    builder.setLeaving(record.leaving);
    builder.setConfigurationNumber(record.configurationNumber);
    builder.setConfigurationEra(record.configurationEra);
    builder.setOverloaded(record.overloaded);
    builder.setCapacity(record.capacity);
}

static Membership::member_record decodeRecord(Schema::MemberRecord::Reader reader)
{
    Membership::member_record record;
    record.name = stringOf(reader.getName());
    record.incarnation = reader.getIncarnation();
    record.heartbeat = reader.getHeartbeat();
    record.callerAddress = stringOf(reader.getCallerAddress());
    record.peerAddress = stringOf(reader.getPeerAddress());
    record.dataCentre = stringOf(reader.getDataCentre());
    record.leaving = reader.getLeaving();
    record.configurationNumber = reader.getConfigurationNumber();
    record.configurationEra = reader.getConfigurationEra();
    record.overloaded = reader.getOverloaded();
    record.capacity = reader.getCapacity();
    return record;
}

static void encodeDigest(const std::vector<Membership::digest_entry> &digest,
                         capnp::List<Schema::DigestEntry>::Builder builder)
{
    for (unsigned index = 0; index < builder.size(); ++index) {
        const Membership::digest_entry &entry = digest[index];
        builder[index].setId(entry.id);
        builder[index].setHeartbeat(entry.heartbeat);
        builder[index].setLag(entry.lag);
        builder[index].setLeaving(entry.leaving);
        builder[index].setOverloaded(entry.overloaded);
    }
}

void encodeGossip(const Membership::gossip_message &message, Schema::GossipMessage::Builder builder)
{
    builder.setSender(textOf(message.sender));
    builder.setConfigurationNumber(message.configurationNumber);
    builder.setNewestNumber(message.newestNumber);
    builder.setNewestEra(message.newestEra);
    builder.setIsHeartbeat(message.isHeartbeat);
    encodeDigest(message.digest, builder.initDigest(listSize(message.digest)));
    auto records = builder.initRecords(listSize(message.records));
    for (unsigned index = 0; index < records.size(); ++index) {
        encodeRecord(message.records[index], records[index]);
    }
    auto requestedIds = builder.initWanted(listSize(message.requestedIds));
    for (unsigned index = 0; index < requestedIds.size(); ++index) {
        requestedIds.set(index, message.requestedIds[index]);
    }
    auto blobs = builder.initBlobs(listSize(message.blobs));
    for (unsigned index = 0; index < blobs.size(); ++index) {
        blobs[index].setKey(textOf(message.blobs[index].key));
        blobs[index].setValue(dataOf(message.blobs[index].value));
    }
}

Membership::gossip_message decodeGossip(Schema::GossipMessage::Reader reader)
{
    Membership::gossip_message message;
    message.sender = stringOf(reader.getSender());
    message.configurationNumber = reader.getConfigurationNumber();
    message.newestNumber = reader.getNewestNumber();
    message.newestEra = reader.getNewestEra();
    message.isHeartbeat = reader.getIsHeartbeat();
    for (const auto entry : checkLength(reader.getDigest(), maximumListItems, "digest")) {
        message.digest.push_back(
            {entry.getId(), entry.getHeartbeat(), entry.getLag(), entry.getLeaving(), entry.getOverloaded()});
    }
    for (const auto record : checkLength(reader.getRecords(), maximumListItems, "records")) {
        message.records.push_back(decodeRecord(record));
    }
    for (const std::uint32_t id : checkLength(reader.getWanted(), maximumListItems, "wanted")) {
        message.requestedIds.push_back(id);
    }
    for (const auto blob : checkLength(reader.getBlobs(), maximumListItems, "blobs")) {
        message.blobs.push_back({stringOf(blob.getKey()), stringOf(blob.getValue())});
    }
    return message;
}

std::size_t gossipSize(const Membership::gossip_message &message)
{
    // Size of the RPC envelope of a call with its finish message (rounded up), and of a packet's TCP and IP headers.
    constexpr std::size_t envelopeBytes = 160;
    constexpr std::size_t packetHeaderBytes = 52;
    constexpr std::size_t packetBytes = 1400;
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Schema::GossipMessage>();
    encodeGossip(message, root);
    const std::size_t bytes = root.totalSize().wordCount * sizeof(capnp::word) + envelopeBytes;
    // In the worst case, each data packet is acknowledged by a separate packet.
    const std::size_t packets = 2 * (bytes / packetBytes + 1);
    return bytes + packets * packetHeaderBytes;
}
} // namespace Wire
