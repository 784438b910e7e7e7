#include "LibTeams/UsageExchange.h"

#include "LibTeams/UsageCodec.h"

#include <algorithm>
#include <cmath>

namespace Teams
{
static std::uint32_t epochOf(Core::wall_time now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / usageEpochLength);
}

static bool hasConverged(Core::wall_time now)
{
    return now.time_since_epoch() % usageEpochLength >= usageEpochConvergenceTime;
}

static void add(team_rates &sum, const team_rates &part)
{
    sum.demand += part.demand;
    sum.admitted += part.admitted;
}

static void contribute(usage_instance &instance, const std::map<std::uint32_t, team_rates> &local)
{
    for (const auto &[key, rates] : local) {
        team_rates &before = instance.contributed[key];
        const team_rates change {rates.demand - before.demand, rates.admitted - before.admitted};
        add(instance.localSums.sums[key], change);
        add(instance.unsent[key], change);
        before = rates;
    }
}

static usage_instance &findInstance(usage_exchange &exchange, std::uint32_t epoch)
{
    const auto [found, inserted] = exchange.instances.try_emplace(epoch);
    if (inserted) {
        found->second.localSums.weight = 1.0;
        contribute(found->second, exchange.local);
    }
    return found->second;
}

void updateUsage(usage_exchange &exchange, const std::map<std::uint32_t, team_rates> &local, Core::wall_time now)
{
    // Teams that were removed from the configuration have no demand.
    for (auto &[key, rates] : exchange.local) {
        rates = {};
    }
    for (const auto &[key, rates] : local) {
        exchange.local[key] = rates;
    }
    const std::uint32_t epoch = epochOf(now);
    findInstance(exchange, epoch);
    const std::uint32_t oldest = hasConverged(now) ? epoch : epoch - 1;
    std::erase_if(exchange.instances,
                  [&](const auto &entry) { return entry.first < oldest || entry.first > epoch + 1; });
    for (auto &[number, instance] : exchange.instances) {
        contribute(instance, exchange.local);
    }
}

static double splitHalf(double &value)
{
    const double sent = roundRate(value / 2.0);
    value -= sent;
    return sent;
}

usage_message splitUsage(usage_exchange &exchange)
{
    // Lower rates are not sent, so that idle teams take no space in messages.
    constexpr double minimumSentRate = 0.01;
    usage_message message;
    for (auto &[epoch, instance] : exchange.instances) {
        usage_sums &sent = message[epoch];
        sent.weight = static_cast<float>(instance.localSums.weight / 2.0);
        instance.localSums.weight -= sent.weight;
        for (auto &[key, sum] : instance.localSums.sums) {
            if (std::max(std::abs(sum.demand), std::abs(sum.admitted)) >= minimumSentRate) {
                sent.sums[key] = {splitHalf(sum.demand), splitHalf(sum.admitted)};
            }
        }
        for (auto &[key, unsent] : instance.unsent) {
            unsent = {unsent.demand / 2.0, unsent.admitted / 2.0};
        }
    }
    return message;
}

Core::duration usageInterval(std::size_t messageBytes)
{
    // Sum of both directions. It leaves more than half of the limit of 10 KB/s for control traffic to other messages.
    constexpr double maximumBytesPerSecond = 4096.0;
    const Core::duration interval = Core::fromSeconds(2.0 * static_cast<double>(messageBytes) / maximumBytesPerSecond);
    return std::max<Core::duration>(interval, minimumUsageInterval);
}

void mergeUsage(usage_exchange &exchange, const usage_message &message, Core::wall_time now)
{
    const std::uint32_t epoch = epochOf(now);
    for (const auto &[number, part] : message) {
        if (number + 1 < epoch || number > epoch + 1 || (number < epoch && hasConverged(now))) {
            continue;
        }
        usage_sums &own = findInstance(exchange, number).localSums;
        own.weight += part.weight;
        for (const auto &[key, rates] : part.sums) {
            add(own.sums[key], rates);
        }
    }
}

std::map<std::uint32_t, team_rates> totalUsage(const usage_exchange &exchange, std::uint32_t liveDaemons,
                                               Core::wall_time now)
{
    std::map<std::uint32_t, team_rates> totals = exchange.local;
    const std::uint32_t epoch = epochOf(now);
    auto found = exchange.instances.find(hasConverged(now) ? epoch : epoch - 1);
    if (found == exchange.instances.end()) {
        found = exchange.instances.find(epoch);
    }
    if (found == exchange.instances.end() || found->second.localSums.weight <= 0.0) {
        return totals;
    }
    const usage_sums &localSums = found->second.localSums;
    const double scale = std::max(1U, liveDaemons) / localSums.weight;
    for (const auto &[key, sum] : localSums.sums) {
        const auto unsentEntry = found->second.unsent.find(key);
        const team_rates unsent = unsentEntry == found->second.unsent.end() ? team_rates() : unsentEntry->second;
        team_rates &total = totals[key];
        total.demand = std::max(total.demand, (sum.demand - unsent.demand) * scale + unsent.demand);
        total.admitted = std::max(total.admitted, (sum.admitted - unsent.admitted) * scale + unsent.admitted);
    }
    return totals;
}
} // namespace Teams
