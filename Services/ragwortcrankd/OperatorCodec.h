#pragma once

#include "LibPlatform/HttpResponse.h"

#include <cstdint>
#include <map>
#include <string>

namespace Configuration
{
struct change_report;
struct patch_answer;
} // namespace Configuration

struct settings;

/// Encodes the result of a patch: 200 accepted, 409 stale, 410 forgotten, 422 invalid, 503 not written, 504 unknown.
[[nodiscard]] Platform::http_response encodePatchAnswer(const Configuration::patch_answer &answer);

/// Encodes the report on a change; 404 if its number is unknown.
[[nodiscard]] Platform::http_response encodeChange(const Configuration::change_report &report);

/// Encodes the status of this VM and the configuration numbers of the live VMs.
[[nodiscard]] Platform::http_response encodeStatus(const settings &daemonSettings, std::uint64_t numberInForce,
                                                   const std::map<std::string, std::uint64_t> &numbers);
