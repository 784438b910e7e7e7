#include "LibObservability/TraceParent.h"

#include <array>
#include <charconv>
#include <system_error>

namespace Observability
{
// Layout: version "-" trace id "-" span id "-" flags, such as 00-<32 digits>-<16 digits>-01.
static constexpr std::size_t traceIdStart = 3;
static constexpr std::size_t traceIdDigits = 32;
static constexpr std::size_t spanIdStart = 36;
static constexpr std::size_t spanIdDigits = 16;
static constexpr std::size_t flagsStart = 53;
static constexpr std::size_t headerLength = 55;
static constexpr int hexadecimal = 16;

static bool isLowerHexadecimal(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

static std::uint64_t parseHexadecimal(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    return value;
}

static std::string formatHexadecimal(std::uint64_t value)
{
    std::array<char, spanIdDigits> digits {};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    const auto count = static_cast<std::size_t>(end - digits.data());
    return std::string(spanIdDigits - count, '0') + std::string(digits.data(), count);
}

static std::uint64_t generateSpanId(Core::random_engine &random)
{
    std::uint64_t id = 0;
    while (id == 0) {
        id = random();
    }
    return id;
}

std::optional<trace_context> parseTraceParent(std::string_view header)
{
    const bool hasValidLayout = header.size() == headerLength && header[2] == '-' && header[spanIdStart - 1] == '-'
        && header[flagsStart - 1] == '-';
    if (!hasValidLayout || header.substr(0, 2) == "ff") {
        return std::nullopt;
    }
    const std::string_view version = header.substr(0, 2);
    const std::string_view traceId = header.substr(traceIdStart, traceIdDigits);
    const std::string_view spanId = header.substr(spanIdStart, spanIdDigits);
    const std::string_view flags = header.substr(flagsStart);
    for (const std::string_view field : {version, traceId, spanId, flags}) {
        if (!isLowerHexadecimal(field)) {
            return std::nullopt;
        }
    }
    trace_context context {std::string(traceId), parseHexadecimal(spanId),
                           (parseHexadecimal(flags) & 1U) != 0 ? trace_sampling::Sampled : trace_sampling::NotSampled};
    if (context.spanId == 0 || traceId.find_first_not_of('0') == std::string_view::npos) {
        return std::nullopt;
    }
    return context;
}

std::string formatTraceParent(const trace_context &context)
{
    const char *flags = context.sampling == trace_sampling::Sampled ? "-01" : "-00";
    return "00-" + context.traceId + "-" + formatHexadecimal(context.spanId) + flags;
}

trace_context startTrace(Core::random_engine &random, trace_sampling sampling)
{
    const std::string traceId = formatHexadecimal(generateSpanId(random)) + formatHexadecimal(random());
    return {traceId, generateSpanId(random), sampling};
}

trace_context childOf(const trace_context &parent, Core::random_engine &random)
{
    return {parent.traceId, generateSpanId(random), parent.sampling};
}
} // namespace Observability
