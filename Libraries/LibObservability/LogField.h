#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace Observability
{
/// One named value of a log record. It must never contain a key or a secret.
struct log_field {
    log_field(std::string_view fieldName, boost::json::value fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    {
    }
    log_field(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(boost::json::string(text))
    {
    }

    std::string_view name;
    boost::json::value value;
};
} // namespace Observability
