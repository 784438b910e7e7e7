#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ApplyPatch.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchRequest.h"
#include "Measures.h"
#include "Support/LiveMemory.h"
#include "Support/ProcessorTime.h"
#include "Support/TargetSizeDocument.h"

#include <algorithm>
#include <memory>

namespace Capacity
{
std::vector<measurement> measureConfiguration()
{
    measurement size {"configuration", "document", "bytes", "replicas", {}, {}, 4600, 105};
    measurement parse {"configuration", "parse and validate a document", "ms", "replicas", {}, {}, 4600, 105};
    measurement patch {
        "configuration", "apply a patch (only where an operator asks)", "ms", "replicas", {}, {}, 4600, 105};
    measurement apply {"configuration", "put a document in force", "ms", "replicas", {}, {}, 4600, 105};
    measurement memory {"configuration", "document in memory", "bytes", "replicas", {}, {}, 4600, 105};
    measurement state {"health", "replica states", "bytes", "replicas", {}, {}, 4600, 105};
    for (const std::size_t replicas : {460U, 1150U, 2300U, 4600U}) {
        const auto document = Bench::targetSizeDocument(replicas, std::min<std::size_t>(replicas, 520));
        const std::string text = Configuration::serializeDocument(document);
        const Configuration::patch_request request {
            document.number, std::to_string(document.number) + "-0123456789abcdef0123456789abcdef",
            R"({"tier":{"hedge_budget":0.04}})"};
        std::int64_t before = Bench::liveBytes();
        auto parsed = std::make_unique<Configuration::parsed_document>(Configuration::parseDocument(text));
        memory.values.push_back(static_cast<double>(Bench::liveBytes() - before));
        size.values.push_back(static_cast<double>(text.size()));
        parse.values.push_back(Core::toMilliseconds(
            Bench::measureRuns(5, [&] { static_cast<void>(Configuration::parseDocument(text)); })));
        patch.values.push_back(Core::toMilliseconds(
            Bench::measureRuns(3, [&] { static_cast<void>(Configuration::applyPatch(text, request)); })));
        before = Bench::liveBytes();
        Backend::service_state service;
        Backend::applyConfiguration(service, document, document.services.at("search"), {});
        state.values.push_back(static_cast<double>(Bench::liveBytes() - before));
        apply.values.push_back(Core::toMilliseconds(Bench::measureRuns(
            5, [&] { Backend::applyConfiguration(service, document, document.services.at("search"), {}); })));
        for (measurement *each : {&size, &parse, &patch, &apply, &memory, &state}) {
            each->sizes.push_back(static_cast<double>(replicas));
        }
    }
    return {size, parse, patch, apply, memory, state};
}
} // namespace Capacity
