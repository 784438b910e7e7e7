#include "LibRollout/EvidenceCodec.h"

#include "LibRollout/Evidence.h"

#include <limits>

namespace Rollout
{
static void appendVarint(std::string &text, std::uint64_t value)
{
    constexpr std::uint64_t lowBits = 0x7F;
    while (value > lowBits) {
        text += static_cast<char>((value & lowBits) | 0x80U);
        value >>= 7U;
    }
    text += static_cast<char>(value);
}

static bool readVarint(std::string_view &text, std::uint64_t &value)
{
    value = 0;
    for (unsigned shift = 0; shift < 64 && !text.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(text.front());
        text.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
        if (byte < 0x80U) {
            return true;
        }
    }
    return false;
}

static bool readCount(std::string_view &text, std::uint32_t &value)
{
    std::uint64_t number = 0;
    if (!readVarint(text, number) || number > std::numeric_limits<std::uint32_t>::max()) {
        return false;
    }
    value = static_cast<std::uint32_t>(number);
    return true;
}

static void appendRoute(std::string &text, std::uint32_t key, const route_evidence &route)
{
    appendVarint(text, key);
    for (const auto &windows : route.windows) {
        appendVarint(text, windows.size());
        for (const auto &[number, counts] : windows) {
            appendVarint(text, number);
            appendVarint(text, counts.newTotal);
            for (const fault_counts &faults : {counts.errors, counts.slow}) {
                appendVarint(text, faults.total);
                appendVarint(text, faults.byNewVersion);
                appendVarint(text, faults.expected);
            }
        }
    }
}

static std::string encodeRow(std::uint64_t incarnation, const daemon_evidence &daemon)
{
    std::string text;
    appendVarint(text, incarnation);
    appendVarint(text, daemon.dataCentre);
    appendVarint(text, daemon.routes.size());
    for (const auto &[key, route] : daemon.routes) {
        appendRoute(text, key, route);
    }
    return text;
}

std::string encodeEvidence(const rollout_evidence &evidence, std::size_t maximumBytes, std::uint64_t &after)
{
    std::string text(1, evidence.bad ? '\1' : '\0');
    auto next = evidence.daemons.upper_bound(after);
    for (std::size_t count = 0; count < evidence.daemons.size(); ++count) {
        next = next == evidence.daemons.end() ? evidence.daemons.begin() : next;
        const std::string row = encodeRow(next->first, next->second);
        if (text.size() + row.size() > maximumBytes) {
            break;
        }
        text += row;
        after = next->first;
        ++next;
    }
    return text;
}

static bool readFaults(std::string_view &text, fault_counts &faults)
{
    return readCount(text, faults.total) && readCount(text, faults.byNewVersion) && readCount(text, faults.expected);
}

static bool readRoute(std::string_view &text, route_evidence &route)
{
    for (auto &windows : route.windows) {
        std::uint32_t count = 0;
        if (!readCount(text, count) || count > 2) {
            return false;
        }
        for (; count > 0; --count) {
            std::uint32_t number = 0;
            route_counts counts;
            if (!readCount(text, number) || !readCount(text, counts.newTotal) || !readFaults(text, counts.errors)
                || !readFaults(text, counts.slow)) {
                return false;
            }
            windows[number] = counts;
        }
    }
    return true;
}

static bool readRow(std::string_view &text, rollout_evidence &evidence)
{
    std::uint64_t incarnation = 0;
    daemon_evidence daemon;
    std::uint32_t routes = 0;
    if (!readVarint(text, incarnation) || !readCount(text, daemon.dataCentre) || !readCount(text, routes)) {
        return false;
    }
    for (; routes > 0; --routes) {
        std::uint32_t key = 0;
        if (!readCount(text, key) || !readRoute(text, daemon.routes[key])) {
            return false;
        }
    }
    mergeDaemon(evidence, incarnation, daemon);
    return true;
}

std::optional<rollout_evidence> decodeEvidence(std::string_view text)
{
    if (text.empty() || (text.front() != '\0' && text.front() != '\1')) {
        return std::nullopt;
    }
    rollout_evidence evidence;
    evidence.bad = text.front() == '\1';
    text.remove_prefix(1);
    while (!text.empty()) {
        if (!readRow(text, evidence)) {
            return std::nullopt;
        }
    }
    return evidence;
}
} // namespace Rollout
