#include "EntriesApi.h"

#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponse.h"
#include "LibQuery/RequestIdentityText.h"
#include "MembershipLoop.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace json = boost::json;

void handleEntries(daemon_state &daemon, const Platform::http_request &request, Platform::http_responder responder)
{
    const auto parameter = request.parameters.find("data_centre");
    const std::string &dataCentre =
        parameter == request.parameters.end() ? daemon.daemonSettings.dataCentre : parameter->second;
    json::array entries;
    for (const Membership::entry &entry : daemon.membership->entries(dataCentre)) {
        entries.push_back(json::object {{"address", entry.address},
                                        {"vm", entry.name},
                                        {"incarnation", Query::formatIncarnation(entry.name, entry.incarnation)},
                                        {"data_centre", entry.dataCentre},
                                        {"weight", entry.weight}});
    }
    const auto timeToLive = daemon.configuration.current()->tier.entryTimeToLive;
    Platform::http_response response;
    response.body =
        json::serialize(json::object {{"entries", std::move(entries)}, {"time_to_live_ms", timeToLive.count()}});
    responder.respond(response);
}
