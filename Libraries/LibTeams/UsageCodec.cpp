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

static void append(std::string &text, std::uint32_t value, int bytes)
{
    for (int index = 0; index < bytes; ++index) {
        text += static_cast<char>(value >> (8U * static_cast<unsigned>(index)));
    }
}

std::string encodeUsage(const usage_message &message)
{
    std::string text;
    for (const auto &[epoch, part] : message) {
        append(text, epoch, wordBytes);
        append(text, std::bit_cast<std::uint32_t>(static_cast<float>(part.weight)), wordBytes);
        append(text, static_cast<std::uint32_t>(part.sums.size()), wordBytes);
        for (const auto &[key, rates] : part.sums) {
            append(text, key, teamKeyBytes);
            append(text, packRate(rates.demand), rateBytes);
            append(text, packRate(rates.admitted), rateBytes);
        }
    }
    return text;
}

static std::uint32_t take(std::string_view &text, std::size_t bytes)
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

static bool takeSums(std::string_view &text, std::uint32_t count, usage_sums &part)
{
    constexpr std::size_t entryBytes = teamKeyBytes + rateBytes + rateBytes;
    if (text.size() / entryBytes < count) {
        return false;
    }
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::uint32_t key = take(text, teamKeyBytes);
        team_rates &rates = part.sums[key];
        rates.demand = unpackRate(take(text, rateBytes));
        rates.admitted = unpackRate(take(text, rateBytes));
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
        usage_sums &part = message[take(text, wordBytes)];
        part.weight = std::bit_cast<float>(take(text, wordBytes));
        const std::uint32_t count = take(text, wordBytes);
        if (!isPlausible(part.weight) || part.weight < 0.0 || !takeSums(text, count, part)) {
            return std::nullopt;
        }
    }
    return message;
}
} // namespace Teams
