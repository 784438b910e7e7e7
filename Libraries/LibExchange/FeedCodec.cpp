#include "LibExchange/FeedCodec.h"

#include "LibExchange/WordBuffer.h"
#include "LibWire/Peer.capnp.h"
#include "LibWire/TextCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <limits>

namespace Exchange
{
using Wire::listSize;
using Wire::stringOf;
using Wire::textOf;

static std::uint32_t ageOf(const feed_entry &entry, Core::time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.learnedAt).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// An entry of an era far behind lies behind every position of later eras in the same way.
static std::uint16_t erasBehind(const feed_entry &entry, const feed_update &update)
{
    return static_cast<std::uint16_t>(
        std::min<std::uint32_t>(update.position.era - entry.revision.era, std::numeric_limits<std::uint16_t>::max()));
}

std::string encodeFeed(const std::vector<feed_update> &updates, Core::time_point now)
{
    capnp::MallocMessageBuilder builder;
    auto list = builder.initRoot<Wire::Schema::FeedPage>().initKinds(listSize(updates));
    for (unsigned index = 0; index < list.size(); ++index) {
        const feed_update &update = updates[index];
        list[index].setKind(textOf(update.kind));
        list[index].setPosition(update.position.number);
        list[index].setEra(update.position.era);
        list[index].setNewestPresent(update.newestPresent);
        list[index].setWhole(update.isFullList);
        auto entries = list[index].initEntries(listSize(update.entries));
        for (unsigned place = 0; place < entries.size(); ++place) {
            const feed_entry &entry = update.entries[place];
            entries[place].setName(textOf(entry.name));
            entries[place].setRevision(entry.revision.number);
            entries[place].setErasBehind(erasBehind(entry, update));
            entries[place].setDeleted(entry.deleted);
            entries[place].setContent(textOf(entry.content));
            entries[place].setAgeMilliseconds(ageOf(entry, now));
        }
    }
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

std::optional<std::vector<feed_update>> decodeFeed(std::string_view bytes, Core::time_point now)
{
    const std::optional<word_buffer> words = copyWords(bytes);
    if (!words) {
        return std::nullopt;
    }
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words->data(), words->size()));
        std::vector<feed_update> updates;
        for (const auto update : reader.getRoot<Wire::Schema::FeedPage>().getKinds()) {
            feed_update decoded {
                stringOf(update.getKind()), {update.getEra(), update.getPosition()}, update.getWhole(), {}, {}, now,
                update.getNewestPresent()};
            const std::uint32_t era = decoded.position.era;
            for (const auto entry : update.getEntries()) {
                decoded.entries.push_back(
                    {stringOf(entry.getName()),
                     {era - std::min<std::uint32_t>(era, entry.getErasBehind()), entry.getRevision()},
                     entry.getDeleted(),
                     stringOf(entry.getContent()),
                     now - std::chrono::milliseconds(entry.getAgeMilliseconds())});
            }
            updates.push_back(std::move(decoded));
        }
        return updates;
    } catch (const kj::Exception &) {
        return std::nullopt; // The function that receives the page logs it as malformed.
    }
}
} // namespace Exchange
