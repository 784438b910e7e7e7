#include "Policy/MembershipFleet.h"

#include "LibConfiguration/WatchPlan.h"
#include "LibConfiguration/WatchView.h"
#include "LibMembership/ConfigurationPropagation.h"
#include "LibMembership/Gossip.h"
#include "LibMembership/ListedVm.h"
#include "LibMembership/Membership.h"
#include "LibWire/GossipSize.h"

#include <algorithm>
#include <utility>

namespace Bench
{
static constexpr std::size_t dataCentres = 4;
static constexpr std::chrono::milliseconds loopTick {50};
static constexpr std::chrono::milliseconds secondAnnouncement {700};
static constexpr std::chrono::seconds slowness {1};
static constexpr std::chrono::milliseconds storeDelay {5};
/// A hand-on of one change: envelopes, headers and a patch of some hundred bytes.
static constexpr std::uint64_t handOnBytes = 1000;
static const Core::duration longestWatchTime = Configuration::maximumWatchDuration;

membership_fleet::membership_fleet(std::size_t count, std::uint64_t seed)
    : m_lives(count, 0)
    , m_seed(seed)
{
    for (std::size_t index = 0; index < dataCentres; ++index) {
        m_document.dataCentres["dc" + std::to_string(index)].region = index < dataCentres / 2 ? "north" : "south";
    }
    for (std::size_t index = 0; index < count; ++index) {
        nodes.push_back(std::make_unique<node>());
        m_indexByAddress[describe(index, 0).peerAddress] = index;
    }
}

Membership::member_record membership_fleet::describe(std::size_t index, std::uint64_t incarnation) const
{
    Membership::member_record record;
    record.name = "vm-" + std::to_string(1000 + index);
    record.incarnation = incarnation;
    record.callerAddress = "10.10." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8080";
    record.peerAddress = "10.10." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8081";
    record.dataCentre = "dc" + std::to_string(index % dataCentres);
    return record;
}

void membership_fleet::startWarm()
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        node &started = *nodes[index];
        started.random.seed(m_seed * 1000 + index);
        started.table = Membership::makeTable(describe(index, 1), {}, events.now());
        started.table.round = 1000;
        Membership::setConfigurationNumber(started.table, {0, m_storeNumber});
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (other != index) {
                Membership::member_record record = describe(other, 1);
                record.configurationNumber = m_storeNumber;
                Membership::mergeRecord(started.table, record, m_settings, events.now());
            }
        }
        for (auto &[name, member] : started.table.members) {
            member.remainingTransmissions = 0;
        }
        start(index);
    }
    m_bytesSince = events.now();
}

void membership_fleet::replace(std::size_t index)
{
    node &fresh = *nodes[index];
    ++m_lives[index];
    const std::uint64_t incarnation = m_lives[index] + 1;
    fresh.table = Membership::makeTable(describe(index, incarnation), {}, events.now());
    fresh.watch = {};
    fresh.alive = true;
    fresh.fetching = false;
    start(index);
}

void membership_fleet::start(std::size_t index)
{
    node &started = *nodes[index];
    started.joinedAt = events.now();
    const Core::duration spread = Membership::roundInterval(started.table, m_settings);
    std::uniform_int_distribution<std::int64_t> draw(0, spread.count());
    const std::uint64_t life = m_lives[index];
    const auto begin = [this, index, life](auto action) {
        return [this, index, life, action] {
            if (m_lives[index] == life) {
                (this->*action)(index);
            }
        };
    };
    events.after(Core::duration(draw(started.random)), begin(&membership_fleet::round));
    const Core::duration listInterval =
        started.table.members.empty() ? Core::duration::zero() : Membership::listReadInterval(started.table);
    std::uniform_int_distribution<std::int64_t> drawList(0, listInterval.count());
    events.after(Core::duration(drawList(started.random)), begin(&membership_fleet::readList));
    // The steady fleet's checks are spread over their interval.
    const bool watches = Membership::watchRank(started.table, m_settings, m_document, events.now()) < 3;
    const Core::duration wait = watches || started.table.members.empty()
        ? Core::duration::zero()
        : Configuration::delayAfterSuccess(started.watch, {100, nodes.size(), m_storeNumber}, started.random);
    std::uniform_int_distribution<std::int64_t> drawCheck(0, wait.count());
    events.after(Core::duration(drawCheck(started.random)), begin(&membership_fleet::callStore));
}

void membership_fleet::runFor(Core::duration time)
{
    events.runUntil(events.now() + time);
}

bool membership_fleet::reaches(std::size_t from, std::size_t to) const
{
    const bool sameRegion = (from % dataCentres) / 2 == (to % dataCentres) / 2;
    return nodes[from]->alive && nodes[to]->alive && (!parted || sameRegion);
}

bool membership_fleet::reachesStore(std::size_t index) const
{
    return !parted || (index % dataCentres) / 2 == 0;
}

Core::duration membership_fleet::delayTo(std::size_t from, std::size_t to) const
{
    const bool sameRegion = (from % dataCentres) / 2 == (to % dataCentres) / 2;
    const Core::duration way = sameRegion ? std::chrono::microseconds(1500) : std::chrono::microseconds(12000);
    return way + (nodes[to]->slow ? Core::duration(slowness) : Core::duration::zero());
}

/// Other packages' state takes all of its budget.
void membership_fleet::addBlobs(Membership::gossip_message &message) const
{
    const std::string key = "state/of/others";
    message.blobs.push_back({key, std::string(m_settings.blobBudget - key.size(), 'x')});
}

void membership_fleet::round(std::size_t index)
{
    node &own = *nodes[index];
    if (!own.alive) {
        return;
    }
    Membership::removeDeadMembers(own.table, m_settings, events.now());
    Membership::gossip_message message = Membership::startRound(own.table, m_settings, events.now());
    addBlobs(message);
    for (const std::string &target : Membership::chooseTargets(own.table, m_settings, events.now(), own.random)) {
        send(index, target, message);
    }
    const std::uint64_t life = m_lives[index];
    events.after(Membership::roundInterval(own.table, m_settings), [this, index, life] {
        if (m_lives[index] == life) {
            round(index);
        }
    });
    fetch(index);
}

void membership_fleet::announce(std::size_t index)
{
    node &own = *nodes[index];
    const Membership::gossip_message message = Membership::makeAnnouncement(own.table);
    for (const std::string &target :
         Membership::chooseAnnouncementTargets(own.table, m_settings, events.now(), own.random)) {
        send(index, target, message);
    }
}

void membership_fleet::send(std::size_t from, const std::string &address, const Membership::gossip_message &message)
{
    const std::size_t to = m_indexByAddress.at(address);
    const std::uint64_t size = Wire::gossipSize(message);
    nodes[from]->bytes += size;
    if (reaches(from, to)) {
        nodes[to]->bytes += size;
        events.after(delayTo(from, to), [this, from, to, message] { deliver(from, to, message); });
    }
}

void membership_fleet::deliver(std::size_t from, std::size_t to, const Membership::gossip_message &message)
{
    if (!reaches(from, to)) {
        return;
    }
    const Membership::gossip_message reply = Membership::onGossip(nodes[to]->table, message, m_settings, events.now());
    const std::uint64_t size = Wire::gossipSize(reply);
    nodes[to]->bytes += size;
    nodes[from]->bytes += size;
    events.after(delayTo(to, from), [this, from, to, reply] {
        if (!reaches(to, from)) {
            return;
        }
        const auto further = Membership::onGossipReply(nodes[from]->table, reply, m_settings, events.now());
        if (further) {
            send(from, nodes[to]->table.self.peerAddress, *further);
        }
        events.after(loopTick, [this, from] { fetch(from); });
    });
    events.after(loopTick, [this, to] { fetch(to); });
}

void membership_fleet::fetch(std::size_t index)
{
    node &own = *nodes[index];
    if (!own.alive || own.fetching) {
        return;
    }
    const auto source = Membership::chooseConfigurationSource(own.table, m_settings, events.now(), own.random);
    if (!source) {
        return;
    }
    own.fetching = true;
    const std::size_t peer = m_indexByAddress.at(*source);
    if (!reaches(index, peer)) {
        // The connection or call times out, and the next try takes another source.
        events.after(std::chrono::milliseconds(500), [this, index] {
            nodes[index]->fetching = false;
            fetch(index);
        });
        return;
    }
    own.bytes += handOnBytes;
    nodes[peer]->bytes += handOnBytes;
    events.after(delayTo(index, peer) + delayTo(peer, index), [this, index, peer] {
        nodes[index]->fetching = false;
        adopt(index, nodes[peer]->table.self.configurationNumber);
    });
}

void membership_fleet::adopt(std::size_t index, std::uint64_t number)
{
    node &own = *nodes[index];
    if (!own.alive || number <= own.table.self.configurationNumber) {
        return;
    }
    Membership::setConfigurationNumber(own.table, {0, number});
    announce(index);
    events.after(secondAnnouncement, [this, index] {
        if (nodes[index]->alive) {
            announce(index);
        }
    });
}

void membership_fleet::callStore(std::size_t index)
{
    node &own = *nodes[index];
    if (!own.alive) {
        return;
    }
    ++storeCalls;
    Configuration::watch_view view;
    view.rank = Membership::watchRank(own.table, m_settings, m_document, events.now());
    view.liveMembers = own.table.members.size() + 1;
    view.numberInForce = own.table.self.configurationNumber;
    const std::uint64_t life = m_lives[index];
    const auto again = [this, index, life] {
        if (m_lives[index] == life) {
            callStore(index);
        }
    };
    if (!reachesStore(index)) {
        events.after(Configuration::delayAfterFailure(own.watch, view, own.random), again);
        return;
    }
    const bool known = view.numberInForce >= m_storeNumber;
    if (known && Configuration::holdsWatch(view)) {
        m_waiting.emplace_back(index, life);
        events.after(longestWatchTime, [this, index, life, again] {
            const auto waits = std::find(m_waiting.begin(), m_waiting.end(), std::pair(index, life));
            if (waits != m_waiting.end()) {
                m_waiting.erase(waits);
                again();
            }
        });
        return;
    }
    events.after(storeDelay, [this, index] { adopt(index, m_storeNumber); });
    events.after(storeDelay + Configuration::delayAfterSuccess(own.watch, view, own.random), again);
}

void membership_fleet::readList(std::size_t index)
{
    node &own = *nodes[index];
    if (!own.alive) {
        return;
    }
    ++storeCalls;
    if (reachesStore(index)) {
        std::vector<Membership::listed_vm> list;
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            const Membership::member_record record = describe(other, 0);
            list.push_back({record.name, record.callerAddress, record.peerAddress, record.dataCentre, false});
        }
        Membership::applyList(own.table, list, events.now());
    }
    const std::uint64_t life = m_lives[index];
    events.after(Membership::listReadInterval(own.table), [this, index, life] {
        if (m_lives[index] == life) {
            readList(index);
        }
    });
}

void membership_fleet::change()
{
    ++m_storeNumber;
    for (const auto &[index, life] : std::exchange(m_waiting, {})) {
        if (m_lives[index] != life || !nodes[index]->alive) {
            continue;
        }
        events.after(storeDelay, [this, index = index, life = life] {
            if (m_lives[index] == life) {
                adopt(index, m_storeNumber);
                callStore(index);
            }
        });
    }
}

std::uint64_t membership_fleet::storeNumber() const
{
    return m_storeNumber;
}

bool membership_fleet::isInForce() const
{
    return std::all_of(nodes.begin(), nodes.end(), [this](const std::unique_ptr<node> &own) {
        return !own->alive || own->table.self.configurationNumber == m_storeNumber;
    });
}

std::size_t membership_fleet::falseDeaths() const
{
    std::size_t count = 0;
    for (const std::unique_ptr<node> &own : nodes) {
        if (!own->alive) {
            continue;
        }
        const auto live = Membership::liveMembers(own->table, m_settings, events.now());
        const auto alive = std::count_if(nodes.begin(), nodes.end(), [](const auto &other) { return other->alive; });
        const auto known = std::count_if(live.begin(), live.end(), [this](const Membership::member_record *member) {
            return nodes[m_indexByAddress.at(member->peerAddress)]->alive;
        });
        count += static_cast<std::size_t>(alive - known);
    }
    return count;
}

std::size_t membership_fleet::undetected() const
{
    std::size_t count = 0;
    for (const std::unique_ptr<node> &own : nodes) {
        if (!own->alive) {
            continue;
        }
        for (const Membership::member_record *member : Membership::liveMembers(own->table, m_settings, events.now())) {
            count += nodes[m_indexByAddress.at(member->peerAddress)]->alive ? 0 : 1;
        }
    }
    return count;
}

void membership_fleet::resetBytes()
{
    m_bytesSince = events.now();
    for (const std::unique_ptr<node> &own : nodes) {
        own->bytes = 0;
    }
}

double membership_fleet::mostBytesPerSecond() const
{
    std::uint64_t most = 0;
    for (const std::unique_ptr<node> &own : nodes) {
        most = std::max(most, own->alive ? own->bytes : 0);
    }
    return static_cast<double>(most) / Core::toSeconds(events.now() - m_bytesSince);
}
} // namespace Bench
