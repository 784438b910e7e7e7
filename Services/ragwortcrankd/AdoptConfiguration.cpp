#include "AdoptConfiguration.h"

#include "DaemonState.h"
#include "LibConfiguration/Adoption.h"
#include "LibObservability/Log.h"

#include <memory>
#include <utility>

bool adoptConfiguration(daemon_state &daemon, const std::string &text)
{
    using Observability::log_level;
    Configuration::parsed_document parsed = Configuration::parseOfferedDocument(text);
    if (!parsed.findings.empty()) {
        Observability::logEvent(log_level::Error, "configuration_invalid",
                                {{"path", parsed.findings.front().path}, {"message", parsed.findings.front().message}});
        return false;
    }
    const auto document = std::make_shared<const Configuration::configuration_document>(std::move(parsed.document));
    if (!daemon.configuration.adopt(document, text)) {
        return false;
    }
    daemon.services.apply(*document, std::chrono::steady_clock::now());
    Observability::logEvent(log_level::Info, "configuration_in_force", {{"number", document->number}});
    return true;
}
