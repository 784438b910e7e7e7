#include "Commands.h"
#include "EditConfiguration.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace json = boost::json;

static exit_code listDataCentres(session &current)
{
    exit_code code = exit_code::Success;
    const auto document = readConfiguration(current, code);
    if (!document) {
        return code;
    }
    json::array rows;
    for (const auto &[name, dataCentre] : document->dataCentres) {
        rows.push_back(json::object {{"data_centre", name}, {"region", dataCentre.region}, {"out", dataCentre.out}});
        if (current.format == output_format::Text) {
            std::cout << name << "  region " << dataCentre.region << "  " << (dataCentre.out ? "out" : "in") << '\n';
        }
    }
    if (current.format == output_format::Json) {
        std::cout << json::serialize(rows) << '\n';
    }
    return code;
}

static exit_code setOut(session &current, const std::string &name, const std::string &direction)
{
    return editConfiguration(current, [&](const auto &document) -> std::optional<json::object> {
        if (!document.dataCentres.contains(name)) {
            std::cerr << "data centre \"" << name << "\" does not exist\n";
            return std::nullopt;
        }
        return json::object {{"data_centres", json::object {{name, json::object {{"out", direction == "out"}}}}}};
    });
}

exit_code runDataCentreCommand(session &current, const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "list") {
        return listDataCentres(current);
    }
    if (arguments.size() == 2 && (arguments[0] == "out" || arguments[0] == "in")) {
        return setOut(current, arguments[1], arguments[0]);
    }
    return failUsage("usage: ragwortcrankctl data-centre list | out NAME | in NAME");
}
