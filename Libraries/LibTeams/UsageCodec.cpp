#include "LibTeams/UsageCodec.h"

#include <bit>
#include <cmath>
#include <cstddef>

namespace Teams
{
static constexpr int teamKeyBytes = 3;
static constexpr int rateBytes = 2;
static constexpr int wordBytes = 4;

std::uint32_t teamKey(std::string_view name)
{
    // FNV-1a, since std::hash may differ between builds of the daemon.
    std::uint32_t hash = 2166136261U;
    for (const char letter : name) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 16777619U;
    }
    return (hash ^ (hash >> 24U)) & 0xFFFFFFU;
}

/// Returns the upper 16 bits of a single-precision number: sign, exponent and 7 bits of the mantissa.
static std::uint32_t packRate(double rate)
{
    return std::bit_cast<std::uint32_t>(static_cast<float>(rate)) >> 16U;
}

static double unpackRate(std::uint32_t packed)
{
    return std::bit_cast<float>(packed << 16U);
}

double roundRate(double rate)
{
    return unpackRate(packRate(rate));
}

static void appendInteger(std::string &text, std::uint32_t value, int bytes)
{
    for (int index = 0; index < bytes; ++index) {
        text += static_cast<char>(value >> (8U * static_cast<unsigned>(index)));
    }
}

std::string encodeUsage(const usage_message &message)
{
    std::string text;
    for (const auto &[epoch, epochSums] : message) {
        appendInteger(text, epoch, wordBytes);
        appendInteger(text, std::bit_cast<std::uint32_t>(static_cast<float>(epochSums.weight)), wordBytes);
        appendInteger(text, static_cast<std::uint32_t>(epochSums.sums.size()), wordBytes);
        for (const auto &[key, rates] : epochSums.sums) {
            appendInteger(text, key, teamKeyBytes);
            appendInteger(text, packRate(rates.demand), rateBytes);
            appendInteger(text, packRate(rates.admitted), rateBytes);
        }
    }
    return text;
}

static std::uint32_t readInteger(std::string_view &text, std::size_t bytes)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(text[index])) << (8U * index);
    }
    text.remove_prefix(bytes);
    return value;
}

/// Returns whether a value is small enough that sums remain finite after any number of merges.
static bool isPlausible(double value)
{
    constexpr double maximumValue = 1e15;
    return std::isfinite(value) && std::abs(value) <= maximumValue;
}

static bool readSums(std::string_view &text, std::uint32_t count, usage_sums &epochSums)
{
    constexpr std::size_t entryBytes = teamKeyBytes + rateBytes + rateBytes;
    if (text.size() / entryBytes < count) {
        return false;
    }
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint32_t key = readInteger(text, teamKeyBytes);
        team_rates &rates = epochSums.sums[key];
        rates.demand = unpackRate(readInteger(text, rateBytes));
        rates.admitted = unpackRate(readInteger(text, rateBytes));
        if (!isPlausible(rates.demand) || !isPlausible(rates.admitted)) {
            return false;
        }
    }
    return true;
}

std::optional<usage_message> decodeUsage(std::string_view text)
{
    usage_message message;
    while (!text.empty()) {
        constexpr std::size_t headerBytes = std::size_t {3} * wordBytes;
        if (text.size() < headerBytes) {
            return std::nullopt;
        }
        usage_sums &epochSums = message[readInteger(text, wordBytes)];
        epochSums.weight = std::bit_cast<float>(readInteger(text, wordBytes));
        const std::uint32_t count = readInteger(text, wordBytes);
        if (!isPlausible(epochSums.weight) || epochSums.weight < 0.0 || !readSums(text, count, epochSums)) {
            return std::nullopt;
        }
    }
    return message;
}
} // namespace Teams
