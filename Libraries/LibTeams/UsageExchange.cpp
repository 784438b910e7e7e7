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

static bool isWarm(Core::wall_time now)
{
    return now.time_since_epoch() % usageEpochLength >= usageEpochWarmUp;
}

static void add(team_rates &sum, const team_rates &part)
{
    sum.demand += part.demand;
    sum.admitted += part.admitted;
}

static void inject(usage_instance &instance, const std::map<std::uint32_t, team_rates> &local)
{
    for (const auto &[key, rates] : local) {
        team_rates &before = instance.injected[key];
        const team_rates change {rates.demand - before.demand, rates.admitted - before.admitted};
        add(instance.part.sums[key], change);
        add(instance.fresh[key], change);
        before = rates;
    }
}

static usage_instance &findInstance(usage_exchange &exchange, std::uint32_t epoch)
{
    const auto [found, fresh] = exchange.instances.try_emplace(epoch);
    if (fresh) {
        found->second.part.weight = 1.0;
        inject(found->second, exchange.local);
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
    const std::uint32_t oldest = isWarm(now) ? epoch : epoch - 1;
    std::erase_if(exchange.instances,
                  [&](const auto &entry) { return entry.first < oldest || entry.first > epoch + 1; });
    for (auto &[number, instance] : exchange.instances) {
        inject(instance, exchange.local);
    }
}

static double takeHalf(double &value)
{
    const double sent = roundRate(value / 2.0);
    value -= sent;
    return sent;
}

usage_message splitUsage(usage_exchange &exchange)
{
    // Lower rates are not sent, so that idle teams take no space in messages.
    constexpr double smallestRate = 0.01;
    usage_message message;
    for (auto &[epoch, instance] : exchange.instances) {
        usage_sums &sent = message[epoch];
        sent.weight = static_cast<float>(instance.part.weight / 2.0);
        instance.part.weight -= sent.weight;
        for (auto &[key, sum] : instance.part.sums) {
            if (std::max(std::abs(sum.demand), std::abs(sum.admitted)) >= smallestRate) {
                sent.sums[key] = {takeHalf(sum.demand), takeHalf(sum.admitted)};
            }
        }
        for (auto &[key, fresh] : instance.fresh) {
            fresh = {fresh.demand / 2.0, fresh.admitted / 2.0};
        }
    }
    return message;
}

Core::duration usageInterval(std::size_t messageBytes)
{
    // Sum of both directions. It leaves more than half of the limit of 10 KB/s for control traffic to other messages.
    constexpr double mostBytesPerSecond = 4096.0;
    const Core::duration interval = Core::fromSeconds(2.0 * static_cast<double>(messageBytes) / mostBytesPerSecond);
    return std::max<Core::duration>(interval, shortestUsageInterval);
}

void mergeUsage(usage_exchange &exchange, const usage_message &message, Core::wall_time now)
{
    const std::uint32_t epoch = epochOf(now);
    for (const auto &[number, part] : message) {
        if (number + 1 < epoch || number > epoch + 1 || (number < epoch && isWarm(now))) {
            continue;
        }
        usage_sums &own = findInstance(exchange, number).part;
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
    auto found = exchange.instances.find(isWarm(now) ? epoch : epoch - 1);
    if (found == exchange.instances.end()) {
        found = exchange.instances.find(epoch);
    }
    if (found == exchange.instances.end() || found->second.part.weight <= 0.0) {
        return totals;
    }
    const usage_sums &part = found->second.part;
    const double scale = std::max(1U, liveDaemons) / part.weight;
    for (const auto &[key, sum] : part.sums) {
        const auto known = found->second.fresh.find(key);
        const team_rates fresh = known == found->second.fresh.end() ? team_rates() : known->second;
        team_rates &total = totals[key];
        total.demand = std::max(total.demand, (sum.demand - fresh.demand) * scale + fresh.demand);
        total.admitted = std::max(total.admitted, (sum.admitted - fresh.admitted) * scale + fresh.admitted);
    }
    return totals;
}
} // namespace Teams
